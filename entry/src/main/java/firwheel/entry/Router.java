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
 * Routes requests by the load of the ranks as known to this entry. Tracks the loads, sends probes and holds the retry
 * budgets. Used on the entry's event loop only.
 */
final class Router {
    private static final int PROBES_PER_REQUEST = 3;
    private static final int MAX_OPEN_PROBES = 256;
    private static final long MICROS_PER_MILLI = 1_000;

    /** Assumed age of a load report on arrival. Attempts sent after the report was created are not included in it. */
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

    /** Chooses a rank for the request, and sends probes whose responses serve later decisions. */
    RouteDecision choose(RouteRequest request, AgentLinks links) {
        TableSnapshot snapshot = table.get();
        removeStaleRows(snapshot);
        RoutingView view = loadTracker.view(snapshot, ownZone);
        RouteDecision decision = policy.choose(request, view);
        policy.probeTargets(request, view, PROBES_PER_REQUEST).forEach(key -> probe(key, request, snapshot, links));
        return decision;
    }

    /** Records a load report, which may be the response to a probe. */
    void onReport(LoadMessage.Report message) {
        RankKey key = new RankKey(message.row(), message.rank());
        RankLoadReport report = new RankLoadReport(
                message.outstandingTokens(),
                message.inFlight(),
                message.queued(),
                message.stepMillis() * MICROS_PER_MILLI,
                message.millisSinceLastOutput(),
                time.monotonicNanos() - REPORT_TRANSIT_NANOS);
        ProbePurpose purpose = openProbes.remove(message.probeId());
        if (purpose == null) {
            loadTracker.onReport(key, report);
        } else {
            loadTracker.onProbe(purpose.kind(), purpose.servedName(), key, report);
        }
    }

    /** Records an attempt sent to a rank, with its estimated tokens. */
    void onDispatch(RankKey key, int tokens) {
        loadTracker.onDispatch(key, tokens);
    }

    /** Records the end of an attempt; {@code tokens} must be the number passed to {@link #onDispatch}. */
    void onFinish(RankKey key, int tokens) {
        loadTracker.onFinish(key, tokens);
    }

    /** Records that output was received from a rank. */
    void onProgress(RankKey key) {
        loadTracker.onProgress(key);
    }

    /** Records that a rank is unreachable or accepts no new attempts; it gets no new ones for a short time. */
    void onUnavailable(RankKey key) {
        loadTracker.onUnavailable(key);
    }

    /** Records a successful request, which replenishes the retry budgets. */
    void onSuccess(RankKey key) {
        retryBudgets.onSuccess(key.row());
    }

    /** Takes one retry from the budgets of the row and of the entry; returns false if either is exhausted. */
    boolean tryAcquireRetry(RankKey failedRank) {
        return retryBudgets.tryAcquire(failedRank.row());
    }

    /** Returns whether all rows that serve the name allow a request to be run again when its outcome is unknown. */
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

    /** Model or service for whose requests a probe was sent. */
    private record ProbePurpose(TargetKind kind, String servedName) {}
}
