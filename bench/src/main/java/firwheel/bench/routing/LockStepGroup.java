package firwheel.bench.routing;

import java.util.List;

/** Ranks whose steps begin and end together. */
final class LockStepGroup {
    private static final long NANOS_PER_MICRO = 1_000;

    private final VirtualLoop loop;
    private final RoutingMeasures measures;
    private final List<SimulatedRank> ranks;
    private boolean stepping;

    LockStepGroup(VirtualLoop loop, RoutingMeasures measures, List<SimulatedRank> ranks) {
        this.loop = loop;
        this.measures = measures;
        this.ranks = List.copyOf(ranks);
    }

    List<SimulatedRank> ranks() {
        return ranks;
    }

    void add(int rank, SimulatedRequest request) {
        ranks.get(rank).add(request);
        if (!stepping) {
            stepping = true;
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
        measures.onStep(slowest, sum / ranks.size());
        loop.after(Math.round(slowest) * NANOS_PER_MICRO, this::endStep);
    }

    private void endStep() {
        ranks.forEach(rank -> rank.endStep(loop.nowNanos()));
        stepping = ranks.stream().anyMatch(SimulatedRank::busy);
        if (stepping) {
            step();
        }
    }
}
