package firwheel.proxy.config;

import java.util.List;

/**
 * Where requests with a certain host and path prefix go.
 *
 * @param name name that the operator gave
 * @param host host that a request names, in lower case
 * @param pathPrefix start of the path, with a slash at both ends
 * @param kind how often such a request may run
 * @param services services by share; never empty
 * @param maxAttempts most targets that one request may be sent to
 * @param timeoutMillis longest time that a caller is kept waiting for the end of the answer
 * @param latencyObjectiveMillis time within which an answer, or the first event of a stream, is on time
 * @param priority rank of the requests; 0 is the highest
 * @param authExempt whether requests need no API key
 * @param resumable whether a stream may continue at another target after its last whole event
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        List<ServiceShare> services,
        int maxAttempts,
        long timeoutMillis,
        long latencyObjectiveMillis,
        int priority,
        boolean authExempt,
        boolean resumable) {
    /** Checks the fields that decisions rely on. */
    public Route {
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
        if (maxAttempts < 1 || timeoutMillis < 1) {
            throw new IllegalArgumentException("route " + name + " allows no attempt or no time");
        }
    }

    /** Returns whether a request may run again after an attempt that may have run. */
    public boolean retryable() {
        return kind == RequestKind.REPEATABLE || (kind == RequestKind.STREAM && resumable);
    }

    /** Returns the service for a request; {@code draw} is uniform between 0 and 1. */
    public String selectService(double uniformRandom) {
        double total = 0;
        for (ServiceShare share : services) {
            total += share.weight();
        }
        double remaining = uniformRandom * total;
        for (ServiceShare share : services) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
