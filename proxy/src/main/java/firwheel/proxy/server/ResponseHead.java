package firwheel.proxy.server;

import io.vertx.core.MultiMap;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Status and headers of a target's response.
 *
 * @param status HTTP status
 * @param attemptId identifier of the attempt that the target responds to, or null if absent
 * @param signed whether the target signed the response
 * @param notExecuted whether the target states that it did not execute the request and will not
 * @param faultyTarget address or identifier of the target because of which the request was not executed, or null
 * @param wrongInstance whether a process other than the expected one uses the address
 * @param leaving whether the target states that it is shutting down
 * @param requestLimit requests per second that the target states to take from all entries together; negative if it
 *     states none
 * @param retryAfter time for which the target states to want no requests from this entry, or null
 * @param eventStream whether the body is a stream of events
 * @param contentEncoded whether the body has a content encoding, which no client requested
 * @param keepAliveMillis time for which the target keeps an idle connection open, or 0 if not stated
 * @param closesConnection whether the target closes the connection after the response
 * @param headers headers to forward to the client
 */
public record ResponseHead(
        int status,
        @Nullable String attemptId,
        boolean signed,
        boolean notExecuted,
        @Nullable String faultyTarget,
        boolean wrongInstance,
        boolean leaving,
        double requestLimit,
        @Nullable Duration retryAfter,
        boolean eventStream,
        boolean contentEncoded,
        long keepAliveMillis,
        boolean closesConnection,
        MultiMap headers) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    /** Returns whether the status is in the 2xx range. */
    public boolean success() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
}
