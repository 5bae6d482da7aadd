package firwheel.entry;

import firwheel.model.RankAddress;
import firwheel.model.RankKey;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import firwheel.model.TimeSource;
import firwheel.routing.LoadTracker;
import firwheel.routing.RankLoadReport;
import firwheel.routing.RetryBudgets;
import firwheel.routing.RouteDecision;
import firwheel.routing.RouteRequest;
import firwheel.routing.RoutingPolicy;
import firwheel.routing.RoutingView;
import firwheel.wire.LoadMessage;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Routes requests by the loads that this entry knows: it keeps them up to date, sends probes, and holds the retry
 * budgets. Used on the entry's event loop only.
 */
final class Router {
    private static final int PROBES_PER_REQUEST = 3;
    private static final int MAX_OPEN_PROBES = 256;
    private static final long MICROS_PER_MILLI = 1_000;

    /** Age of a report on arrival; attempts sent later than it was taken are not in it. */
    private static final long REPORT_TRANSIT_NANOS = Duration.ofMillis(1).toNanos();

    private final RoutingPolicy policy;
    private final Supplier<TableSnapshot> table;
    private final String ownZone;
    private final TimeSource time;
    private final LoadTracker loadTracker;
    private final RetryBudgets retryBudgets = new RetryBudgets();
    private final Map<Long, ProbePurpose> openProbes = new LinkedHashMap<>();
    private long lastProbeId;
    private long lastRevision;

    Router(RoutingPolicy policy, Supplier<TableSnapshot> table, String ownZone, TimeSource time) {
        this.policy = policy;
        this.table = table;
        this.ownZone = ownZone;
        this.time = time;
        this.loadTracker = new LoadTracker(time);
    }

    /** Chooses a rank and sends a few probes for the decisions to come. */
    RouteDecision choose(RouteRequest request, AgentLinks links) {
        TableSnapshot snapshot = table.get();
        removeStaleRows(snapshot);
        RoutingView view = loadTracker.view(snapshot, ownZone);
        RouteDecision decision = policy.choose(request, view);
        policy.probeTargets(request, view, PROBES_PER_REQUEST).forEach(key -> probe(key, request, snapshot, links));
        return decision;
    }

    /** Takes a report or the answer to a probe. */
    void onReport(LoadMessage.Report message) {
        RankKey key = new RankKey(message.row(), message.rank());
        RankLoadReport report = new RankLoadReport(
                message.outstandingTokens(),
                message.inFlight(),
                message.queued(),
                message.stepMillis() * MICROS_PER_MILLI,
                message.silentMillis(),
                time.monotonicNanos() - REPORT_TRANSIT_NANOS);
        ProbePurpose purpose = openProbes.remove(message.probeId());
        if (purpose == null) {
            loadTracker.onReport(key, report);
        } else {
            loadTracker.onProbe(purpose.kind(), purpose.servedName(), key, report);
        }
    }

    /** Notes an attempt sent to a rank. */
    void onDispatch(RankKey key, int tokens) {
        loadTracker.onDispatch(key, tokens);
    }

    /** Notes the end of an attempt that was noted as sent with as many tokens. */
    void onFinish(RankKey key, int tokens) {
        loadTracker.onFinish(key, tokens);
    }

    /** Notes a piece of an answer. */
    void onProgress(RankKey key) {
        loadTracker.onProgress(key);
    }

    /** Notes that a rank cannot be reached or takes nothing new; others get its work for a while. */
    void onUnavailable(RankKey key) {
        loadTracker.onUnavailable(key);
    }

    /** Notes a request that ended well. */
    void onSuccess(RankKey key) {
        retryBudgets.onSuccess(key.row());
    }

    /** Takes one retry out of the budgets, or returns false if one is spent. */
    boolean tryAcquireRetry(RankKey failedRank) {
        return retryBudgets.tryAcquire(failedRank.row());
    }

    /** Returns whether all rows that serve the name allow requests to be run again after an ambiguous failure. */
    boolean isIdempotent(TargetKind kind, String servedName) {
        return table.get().rows().stream()
                .filter(row -> row.serves(kind, servedName))
                .allMatch(TargetRow::idempotent);
    }

    private void probe(RankKey key, RouteRequest request, TableSnapshot snapshot, AgentLinks links) {
        snapshot.row(key.row()).ifPresent(row -> row.hosts().stream()
                .filter(address -> address.rank() == key.rank())
                .forEach(address -> probe(key, address, request, links)));
    }

    private void probe(RankKey key, RankAddress address, RouteRequest request, AgentLinks links) {
        long probeId = ++lastProbeId;
        openProbes.put(probeId, new ProbePurpose(request.kind(), request.servedName()));
        if (openProbes.size() > MAX_OPEN_PROBES) {
            openProbes.remove(openProbes.keySet().iterator().next());
        }
        var unused = links.link(address).whenComplete((link, error) -> {
            if (error != null) {
                loadTracker.onUnavailable(key);
            } else {
                link.send(new LoadMessage.Probe(probeId));
            }
        });
    }

    private void removeStaleRows(TableSnapshot snapshot) {
        if (snapshot.revision() != lastRevision) {
            lastRevision = snapshot.revision();
            loadTracker.retain(snapshot);
            retryBudgets.retain(snapshot.rows().stream().map(TargetRow::name).collect(Collectors.toSet()));
        }
    }

    /** What a probe was sent for. */
    private record ProbePurpose(TargetKind kind, String servedName) {}
}
