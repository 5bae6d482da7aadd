package firwheel.rebalance;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Dependencies of a {@link MapController}.
 *
 * @param agentIps returns the IP addresses of all known agents but this one; some may have ended
 * @param engineAt returns a client of the engine at an address, for ranks whose agent does not respond
 * @param policy returns the policy of the group, or null until its configuration is known
 * @param reports receives the result of each reading of the group
 * @param knownEngines returns the engines recently reported by a controller, for ranks whose agent does not respond
 * @param metrics metrics of the controller
 */
public record ControllerEnvironment(
        Supplier<List<String>> agentIps,
        Function<EngineAddress, Engine> engineAt,
        Supplier<@Nullable MapPolicy> policy,
        Consumer<GroupReport> reports,
        Supplier<Set<EngineAddress>> knownEngines,
        MapMetrics metrics) {}
