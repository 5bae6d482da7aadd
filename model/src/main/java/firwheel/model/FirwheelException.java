package firwheel.model;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Failure with a result code. Futures that cross module boundaries fail only with this exception type. */
public final class FirwheelException extends RuntimeException {
    private final ResultCode code;
    private final Duration retryAfter;

    /** Creates a failure without a recommended retry delay. */
    public FirwheelException(ResultCode code, String detail) {
        this(code, detail, Duration.ZERO, null);
    }

    /** Creates a failure with a recommended retry delay. */
    public FirwheelException(ResultCode code, String detail, Duration retryAfter) {
        this(code, detail, retryAfter, null);
    }

    /** Creates a failure with a recommended retry delay and a cause. */
    public FirwheelException(ResultCode code, String detail, Duration retryAfter, @Nullable Throwable cause) {
        super(code.label() + " " + detail, cause);
        this.code = code;
        this.retryAfter = retryAfter;
    }

    public ResultCode code() {
        return code;
    }

    /** Returns the message followed by the remedy of the result code. */
    public String messageWithRemedy() {
        String message = String.valueOf(getMessage());
        String separator = message.endsWith(".") || message.endsWith("\n") ? " " : ". ";
        return message + separator + code.remedy();
    }

    /** Returns the recommended delay before a retry; zero if a retry needs no delay or is pointless. */
    public Duration retryAfter() {
        return retryAfter;
    }

    /**
     * Unwraps {@code error} from {@code CompletionException} and {@code ExecutionException}, and wraps any other type
     * of failure in an {@link ResultCode#INTERNAL} failure.
     */
    public static FirwheelException of(Throwable error) {
        Throwable current = error;
        while (current instanceof java.util.concurrent.CompletionException
                || current instanceof java.util.concurrent.ExecutionException) {
            Throwable cause = current.getCause();
            if (cause == null) {
                break;
            }
            current = cause;
        }
        if (current instanceof FirwheelException failure) {
            return failure;
        }
        return new FirwheelException(ResultCode.INTERNAL, String.valueOf(current), Duration.ZERO, current);
    }
}
