package firwheel.proxy.config;

import java.time.Duration;
import java.util.List;

/**
 * Routing rule for requests to a host and path prefix.
 *
 * @param name name given by the operator
 * @param host host name of matching requests, in lower case
 * @param pathPrefix path prefix of matching requests, with a slash at both ends
 * @param kind retry semantics and response format of the requests
 * @param services weighted services; never empty
 * @param maxAttempts maximum number of targets that one request may be sent to
 * @param timeoutMillis maximum time until the response is complete
 * @param latencyObjectiveMillis latency objective for a response, or for the first event of a stream
 * @param priority priority of the requests; 0 is the highest
 * @param authenticationExempt whether requests need no API key
 * @param resumable whether a stream may resume at another target after its last complete event
 * @param pauseObjective longest pause between events of a stream that is in time; zero if none is stated
 * @param patience time after which a client leaves if it has received nothing
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
        boolean authenticationExempt,
        boolean resumable,
        Duration pauseObjective,
        Duration patience) {
    /** Validates the fields that routing decisions depend on. */
    public Route {
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
        if (maxAttempts < 1 || timeoutMillis < 1) {
            throw new IllegalArgumentException("route " + name + ": maxAttempts and timeoutMillis must be at least 1");
        }
    }

    /** Returns whether a request may be retried after an attempt that may have been executed. */
    public boolean retryable() {
        return kind == RequestKind.REPEATABLE || (kind == RequestKind.STREAM && resumable);
    }

    /** Selects a service by weight; {@code uniformRandom} is uniformly distributed between 0 and 1. */
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
