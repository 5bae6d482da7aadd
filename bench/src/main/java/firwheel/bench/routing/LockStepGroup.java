package firwheel.bench.routing;

import firwheel.bench.VirtualEventLoop;
import java.util.List;

/** A group of ranks that run in lock step: each step lasts as long as that of the slowest rank. */
final class LockStepGroup {
    private static final long NANOS_PER_MICRO = 1_000;

    private final VirtualEventLoop loop;
    private final RoutingMetrics metrics;
    private final List<SimulatedRank> ranks;
    private boolean stepInProgress;

    LockStepGroup(VirtualEventLoop loop, RoutingMetrics metrics, List<SimulatedRank> ranks) {
        this.loop = loop;
        this.metrics = metrics;
        this.ranks = List.copyOf(ranks);
    }

    List<SimulatedRank> ranks() {
        return ranks;
    }

    void add(int rank, SimulatedRequest request) {
        ranks.get(rank).add(request);
        if (!stepInProgress) {
            stepInProgress = true;
            step();
        }
    }

    private void step() {
        double sum = 0;
        double slowest = 0;
        for (SimulatedRank rank : ranks) {
            double micros = rank.beginStep();
            sum += micros;
            slowest = Math.max(slowest, micros);
        }
        metrics.onStep(slowest, sum / ranks.size());
        loop.schedule(Math.round(slowest) * NANOS_PER_MICRO, this::endStep);
    }

    private void endStep() {
        ranks.forEach(rank -> rank.endStep(loop.nowNanos()));
        stepInProgress = ranks.stream().anyMatch(SimulatedRank::hasWork);
        if (stepInProgress) {
            step();
        }
    }
}
