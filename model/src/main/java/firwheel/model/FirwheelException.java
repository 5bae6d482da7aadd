package firwheel.model;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Failure with a numbered code; the only failure that futures of this project carry across module boundaries. */
public final class FirwheelException extends RuntimeException {
    private final ResultCode code;
    private final Duration retryAfter;

    /** Creates a failure that suggests no waiting time. */
    public FirwheelException(ResultCode code, String detail) {
        this(code, detail, Duration.ZERO, null);
    }

    /** Creates a failure with the time after which a retry makes sense. */
    public FirwheelException(ResultCode code, String detail, Duration retryAfter) {
        this(code, detail, retryAfter, null);
    }

    /** Creates a failure with its cause. */
    public FirwheelException(ResultCode code, String detail, Duration retryAfter, @Nullable Throwable cause) {
        super(code.label() + " " + detail, cause);
        this.code = code;
        this.retryAfter = retryAfter;
    }

    /** Returns the numbered code. */
    public ResultCode code() {
        return code;
    }

    /** Returns the message followed by what to do. */
    public String messageWithRemedy() {
        String message = String.valueOf(getMessage());
        String separator = message.endsWith(".") || message.endsWith("\n") ? " " : ". ";
        return message + separator + code.remedy();
    }

    /** Returns the time after which a retry makes sense; zero when at once or never. */
    public Duration retryAfter() {
        return retryAfter;
    }

    /** Returns {@code error}, unwrapped from completion wrappers, as a failure of this type. */
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
