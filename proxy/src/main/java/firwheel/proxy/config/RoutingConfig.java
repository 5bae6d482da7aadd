package firwheel.proxy.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** One version of the operator's configuration. Immutable; lookups do not allocate. */
public final class RoutingConfig {
    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, ServiceConfig> services = new HashMap<>();
    private final Map<String, Organisation> organisationsByApiKey = new HashMap<>();
    private final boolean apiKeysRequired;
    private final ClientLimits limits;

    /** Creates a configuration; {@code organisations} is null where callers present no keys. */
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

    /** Returns the number of this version; versions only rise. */
    public long version() {
        return version;
    }

    /** Returns the limits for callers. */
    public ClientLimits limits() {
        return limits;
    }

    /** Returns whether requests need a key, unless their route is exempt. */
    public boolean apiKeysRequired() {
        return apiKeysRequired;
    }

    /** Returns the route of the host with the longest prefix of the path, or null. */
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

    /** Returns a service by name, or null where the configuration does not name it. */
    public @Nullable ServiceConfig service(String name) {
        return services.get(name);
    }

    /** Returns all services. */
    public Iterable<ServiceConfig> services() {
        return services.values();
    }

    /** Returns the organisation that holds a key, or null. */
    public @Nullable Organisation organisation(String apiKey) {
        return organisationsByApiKey.get(apiKey);
    }
}
