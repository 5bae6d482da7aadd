package firwheel.bench.routing;

import firwheel.bench.VirtualEventLoop;
import firwheel.model.Priority;
import firwheel.model.RankKey;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.routing.LoadTracker;
import firwheel.routing.RankLoadReport;
import firwheel.routing.RouteDecision;
import firwheel.routing.RouteRequest;
import firwheel.routing.RoutingPolicy;
import firwheel.routing.TokenAwarePolicy;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A simulated entry host with its routing policy and its own view of rank loads. */
final class SimulatedEntry {
    static final String MODEL = "model";
    static final String ZONE = "zone";

    private final RoutingPolicy policy;
    private final boolean usesPiggybackedReports;
    private final LoadTracker tracker;
    private final TableSnapshot table;

    /** Creates an entry; policies other than the token-aware one ignore the load reports attached to responses. */
    SimulatedEntry(RoutingPolicy policy, VirtualEventLoop loop, TableSnapshot table) {
        this.usesPiggybackedReports = policy instanceof TokenAwarePolicy;
        this.policy = policy;
        this.tracker = new LoadTracker(loop.time());
        this.table = table;
    }

    /** Returns the selected rank, or null if the policy refuses the request. */
    @Nullable
    RankKey choose(SimulatedRequest request, List<Long> prefixHashes) {
        RouteDecision decision = policy.choose(routeRequest(request, prefixHashes), tracker.view(table, ZONE));
        if (decision instanceof RouteDecision.Chosen chosen) {
            tracker.onDispatch(chosen.key(), request.estimatedTokens());
            return chosen.key();
        }
        return null;
    }

    List<RankKey> probeTargets(SimulatedRequest request, List<Long> prefixHashes, int count) {
        return policy.probeTargets(routeRequest(request, prefixHashes), tracker.view(table, ZONE), count);
    }

    void onProbe(RankKey key, RankLoadReport report) {
        tracker.onProbe(TargetKind.MODEL, MODEL, key, report);
    }

    void onReport(RankKey key, RankLoadReport report) {
        tracker.onReport(key, report);
    }

    /** Handles a streamed token; the agent attaches its current load report to it. */
    void onToken(RankKey key, RankLoadReport report) {
        tracker.onProgress(key);
        if (usesPiggybackedReports) {
            tracker.onReport(key, report);
        }
    }

    void onFinish(RankKey key, SimulatedRequest request) {
        tracker.onFinish(key, request.estimatedTokens());
    }

    private static RouteRequest routeRequest(SimulatedRequest request, List<Long> prefixHashes) {
        return new RouteRequest(
                TargetKind.MODEL,
                MODEL,
                "organisation",
                Priority.NORMAL,
                prefixHashes,
                request.estimatedTokens(),
                Set.of());
    }
}
