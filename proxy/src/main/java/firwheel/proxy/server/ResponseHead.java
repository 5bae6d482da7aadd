package firwheel.proxy.server;

import io.vertx.core.MultiMap;
import org.jspecify.annotations.Nullable;

/**
 * The head of a target's answer.
 *
 * @param status HTTP status
 * @param attemptId attempt that the target answers, or null where it does not say
 * @param signed whether the target signed the answer
 * @param notExecuted whether the target states that it did not run the request and will not
 * @param wrongInstance whether another process than the one expected has the address
 * @param contentEncoded whether the body is encoded, which no caller asked for
 * @param keepAliveMillis time that the target keeps the connection open while idle, or 0 where it does not say
 * @param closesConnection whether the target closes the connection after the answer
 * @param headers headers to pass on to the caller
 */
public record ResponseHead(
        int status,
        @Nullable String attemptId,
        boolean signed,
        boolean notExecuted,
        boolean wrongInstance,
        boolean contentEncoded,
        long keepAliveMillis,
        boolean closesConnection,
        MultiMap headers) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    /** Returns whether the status is a success. */
    public boolean success() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
}
