package firwheel.proxy.config;

/**
 * One of the services that a route sends requests to.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the route's other services
 */
public record ServiceShare(String service, double weight) {
    /** Checks the weight. */
    public ServiceShare {
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight of service " + service + " is negative: " + weight);
        }
    }
}
