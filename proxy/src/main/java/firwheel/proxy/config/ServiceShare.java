package firwheel.proxy.config;

/**
 * A service of a route and its share of the traffic.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the weights of the route's other services
 */
public record ServiceShare(String service, double weight) {
    /** Validates the weight. */
    public ServiceShare {
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight of service " + service + " must not be negative: " + weight);
        }
    }
}
