package firwheel.proxy.balance;

import firwheel.model.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells callers that have come back after a refusal from those that ask for the first time. The callers of a route
 * state the same time that they will wait, and one that has waited before has less of it left. What is usual is
 * observed, since callers state less than the timeout of the route. Not thread-safe.
 */
public final class ReturnedCallers {
    private static final Duration MEMORY = Duration.ofSeconds(30);
    private static final double MAX_SHARE = 0.9; // of the usual time; one that has just been refused has less
    private static final int MAX_ROUTES = 10_000; // more than a configuration has

    private final TimeSource time;
    private Map<String, Long> longest = new HashMap<>();
    private Map<String, Long> longestBefore = new HashMap<>();
    private long sinceNanos;

    /** Creates an observer that has seen no requests. */
    public ReturnedCallers(TimeSource time) {
        this.time = time;
        sinceNanos = time.monotonicNanos();
    }

    /**
     * Records a request and returns whether its caller has probably asked before.
     *
     * @param route name of the route
     * @param deadlineMillis time that the caller will wait, or 0 if it states none
     */
    public boolean onRequest(String route, long deadlineMillis) {
        if (time.monotonicNanos() - sinceNanos > MEMORY.toNanos() || longest.size() >= MAX_ROUTES) {
            longestBefore = longest;
            longest = new HashMap<>();
            sinceNanos = time.monotonicNanos();
        }
        long usualMillis =
                Math.max(longest.merge(route, deadlineMillis, Math::max), longestBefore.getOrDefault(route, 0L));
        return deadlineMillis > 0 && deadlineMillis < usualMillis * MAX_SHARE;
    }
}
