package firwheel.proxy.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** One immutable version of the operator's routing configuration. */
public final class RoutingConfig {
    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, ServiceConfig> services = new HashMap<>();
    private final Map<String, Organisation> organisationsByApiKey = new HashMap<>();
    private final boolean apiKeysRequired;
    private final ClientLimits limits;

    /** Creates a configuration; {@code organisations} is null if clients need no API key. */
    public RoutingConfig(
            long version,
            List<Route> routes,
            List<ServiceConfig> services,
            @Nullable List<Organisation> organisations,
            ClientLimits limits) {
        this.version = version;
        this.limits = limits;
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        routesByHost.values().forEach(hostRoutes -> hostRoutes.sort(longestFirst));
        services.forEach(service -> this.services.put(service.name(), service));
        apiKeysRequired = organisations != null;
        if (organisations != null) {
            organisations.forEach(organisation ->
                    organisation.apiKeys().forEach(key -> organisationsByApiKey.put(key, organisation)));
        }
    }

    /** Returns the version number; each newer configuration has a higher one. */
    public long version() {
        return version;
    }

    /** Returns the limits on client requests and connections. */
    public ClientLimits limits() {
        return limits;
    }

    /** Returns whether requests require an API key unless their route is exempt. */
    public boolean apiKeysRequired() {
        return apiKeysRequired;
    }

    /** Returns the route for the host with the longest matching path prefix, or null. */
    public @Nullable Route route(String host, String path) {
        int colon = host.indexOf(':');
        String hostName = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        for (Route route : routesByHost.getOrDefault(hostName, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return route;
            }
        }
        return null;
    }

    /** Returns the service with the given name, or null if it is not configured. */
    public @Nullable ServiceConfig service(String name) {
        return services.get(name);
    }

    /** Returns all configured services. */
    public Iterable<ServiceConfig> services() {
        return services.values();
    }

    /** Returns the organisation that owns an API key, or null. */
    public @Nullable Organisation organisation(String apiKey) {
        return organisationsByApiKey.get(apiKey);
    }
}
