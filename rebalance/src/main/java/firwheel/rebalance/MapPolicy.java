package firwheel.rebalance;

import firwheel.experts.ExpertMap;
import firwheel.experts.plan.CostModel;
import firwheel.experts.plan.IncrementalPlanner;
import firwheel.experts.plan.LoadEstimate;
import firwheel.experts.plan.PlanLimits;
import firwheel.experts.plan.PlanPrices;
import firwheel.experts.plan.PlanningInput;
import firwheel.experts.plan.RankCondition;
import java.time.Duration;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether to change the expert map of a group, and plans the new map. Tracks expert selections as an
 * exponentially weighted mean, which starts anew when demand shifts. Does no I/O.
 */
public final class MapPolicy {
    private static final double HALF_LIFE_MILLIS = 340; // averages the noise of a few readings
    private static final double MIN_IMPROVEMENT = 0.12; // steps are 15% slower while experts are loaded
    private static final double MIN_IMPROVEMENT_PER_LOAD = 0.01; // of a rank's mean load; loading slows down steps
    private static final double MIN_SELECTIONS_PER_EXPERT =
            20; // with fewer, the measured shares of experts are mostly noise
    private static final double SECONDS_PER_TOKEN = 1e-6; // arbitrary, since only ratios matter
    private static final long GIB = 1L << 30;
    // One step and experts of 1 GiB, so that loading an expert costs exactly the move price.
    private static final CostModel RELATIVE_COSTS = new CostModel(SECONDS_PER_TOKEN, 1, GIB, 1, 1, 0, 0, 0);
    private static final double LOADING_SLOWDOWN = 1.15; // of steps while a rank loads experts
    private static final Duration PLANNING_HORIZON = Duration.ofSeconds(2); // demand often shifts after a few seconds
    private static final Duration NEGLIGIBLE_LOAD_TIME =
            Duration.ofMillis(200); // less than the rest of a rollout; loading fewer experts would gain little
    private static final int MAX_MOVES = 10_000; // not reached, since each layer has its own limit

    private final int layers;
    private final int experts;
    private final int slotsPerRank;
    private final int spareSlots;
    private final Duration expertLoadTime;
    private final IncrementalPlanner planner = new IncrementalPlanner();
    private final ShiftDetector shiftDetector = new ShiftDetector();
    private @Nullable LoadEstimate estimate;

    /**
     * Creates a policy.
     *
     * @param layers number of layers with their own set of experts
     * @param experts number of experts per layer
     * @param slotsPerRank number of experts per layer that fit on a rank
     * @param spareSlots number of experts per layer that a rank can load in one rollout
     * @param expertLoadTime time that a rank takes to load one expert
     */
    public MapPolicy(int layers, int experts, int slotsPerRank, int spareSlots, Duration expertLoadTime) {
        this.layers = layers;
        this.experts = experts;
        this.slotsPerRank = slotsPerRank;
        this.spareSlots = spareSlots;
        this.expertLoadTime = expertLoadTime;
    }

    /** Discards the load estimate. */
    public void reset() {
        estimate = null;
    }

    /**
     * Updates the load estimate. Ignores intervals with too few selections.
     *
     * @param selections how often each expert was selected since the last call, over all ranks, by layer and expert
     * @param interval time since the last call, which determines the weight of the selections
     */
    public void onSelections(long[] selections, Duration interval) {
        double[][] byLayer = new double[layers][experts];
        double total = 0;
        for (int layer = 0; layer < layers; layer++) {
            for (int expert = 0; expert < experts; expert++) {
                byLayer[layer][expert] = selections[layer * experts + expert];
                total += byLayer[layer][expert];
            }
        }
        if (total < MIN_SELECTIONS_PER_EXPERT * layers * experts) {
            return;
        }
        double scale = layers * experts / total;
        for (double[] layerLoad : byLayer) {
            for (int expert = 0; expert < experts; expert++) {
                layerLoad[expert] *= scale;
            }
        }
        LoadEstimate known = estimate;
        estimate = known == null || shiftDetector.isShift(tokens(known), byLayer)
                ? LoadEstimate.of(byLayer)
                : known.updated(byLayer, updateWeight(interval));
    }

    private double[][] tokens(LoadEstimate load) {
        double[][] tokens = new double[layers][];
        for (int layer = 0; layer < layers; layer++) {
            tokens[layer] = load.layer(layer);
        }
        return tokens;
    }

    private static double updateWeight(Duration interval) {
        double halfLives = interval.toMillis() / HALF_LIFE_MILLIS;
        return 1 - Math.pow(0.5, halfLives);
    }

    /**
     * Returns a better placement by layer, rank and slot, or null if the improvement over the current one is too small.
     * Ranks load their experts at the same time, one after another, so where this takes long, a placement for which
     * each rank loads few may be better than the most even one.
     *
     * @param current placement in use
     * @param slowdowns time of each rank for a unit of work relative to nominal speed; all ranks wait for the slowest
     */
    public int @Nullable [][][] plan(int[][][] current, double[] slowdowns) {
        LoadEstimate load = estimate;
        if (load == null) {
            return null;
        }
        double before = sumOfSlowestLoads(current, slowdowns, load);
        double lowestWork = before * PLANNING_HORIZON.toMillis();
        int[][][] best = null;
        for (int loadsPerLayer = spareSlots; loadsPerLayer > 0; loadsPerLayer--) {
            int[][][] placement = planWithin(loadsPerLayer, current, slowdowns, load);
            double after = sumOfSlowestLoads(placement, slowdowns, load);
            long loadMillis = expertLoadTime.toMillis() * maxLoadedExperts(current, placement);
            double work = workUntilHorizon(before, after, loadMillis);
            if (after < before * (1 - MIN_IMPROVEMENT) && work < lowestWork) {
                best = placement;
                lowestWork = work;
            }
            if (loadMillis <= NEGLIGIBLE_LOAD_TIME.toMillis()) {
                break;
            }
        }
        return best;
    }

    /** Returns a placement of the experts that ranks hold, completed by those that none of them holds. */
    public int[][][] completed(int[][][] held) {
        return new PlacementCompletion(experts, slotsPerRank).complete(held);
    }

    private int[][][] planWithin(int loadsPerLayer, int[][][] current, double[] slowdowns, LoadEstimate load) {
        ExpertMap map = ExpertMap.of(experts, padded(current));
        int ranks = map.ranks();
        PlanLimits limits = new PlanLimits(MAX_MOVES, loadsPerLayer * ranks, loadsPerLayer, 1);
        PlanningInput input = new PlanningInput(
                map,
                load,
                Arrays.stream(slowdowns)
                        .mapToObj(slowdown -> new RankCondition(RankCondition.State.SERVING, slowdown, slotsPerRank))
                        .toList(),
                new PlanPrices(1, MIN_IMPROVEMENT_PER_LOAD * SECONDS_PER_TOKEN * experts / ranks),
                RELATIVE_COSTS,
                limits);
        ExpertMap planned = planner.plan(input).map();
        int[][][] placement = new int[layers][][];
        for (int layer = 0; layer < layers; layer++) {
            placement[layer] = withoutEmptySlots(planned.layer(layer));
        }
        return placement;
    }

    /** Returns the work done by the slowest ranks if the load does not change until the planning horizon. */
    private static double workUntilHorizon(double before, double after, long loadMillis) {
        long loadingMillis = Math.min(loadMillis, PLANNING_HORIZON.toMillis());
        return before * LOADING_SLOWDOWN * loadingMillis + after * (PLANNING_HORIZON.toMillis() - loadingMillis);
    }

    /** Returns how many experts, over all layers, the rank with the most of them has to load. */
    private static int maxLoadedExperts(int[][][] current, int[][][] planned) {
        int max = 0;
        for (int rank = 0; rank < planned[0].length; rank++) {
            int loaded = 0;
            for (int layer = 0; layer < planned.length; layer++) {
                int[] held = current[layer][rank];
                loaded += (int) Arrays.stream(planned[layer][rank])
                        .filter(expert -> Arrays.stream(held).noneMatch(old -> old == expert))
                        .count();
            }
            max = Math.max(max, loaded);
        }
        return max;
    }

    /**
     * Returns the load of the slowest rank over that of an even placement at nominal speed, summed over layers; 1 is
     * even.
     */
    public double imbalance(int[][][] placement, double[] slowdowns) {
        LoadEstimate load = estimate;
        return load == null ? 1 : sumOfSlowestLoads(placement, slowdowns, load) * slowdowns.length / totalTokens(load);
    }

    private double totalTokens(LoadEstimate load) {
        double total = 0;
        for (int layer = 0; layer < layers; layer++) {
            for (double tokens : load.layer(layer)) {
                total += tokens;
            }
        }
        return Math.max(total, Double.MIN_NORMAL);
    }

    private double sumOfSlowestLoads(int[][][] placement, double[] slowdowns, LoadEstimate load) {
        double sum = 0;
        for (int layer = 0; layer < layers; layer++) {
            double[] tokens = load.layer(layer);
            int[] copies = new int[experts];
            for (int[] rank : placement[layer]) {
                for (int expert : rank) {
                    copies[expert]++;
                }
            }
            double slowest = 0;
            for (int rank = 0; rank < slowdowns.length; rank++) {
                double share = 0;
                for (int expert : placement[layer][rank]) {
                    share += tokens[expert] / copies[expert];
                }
                slowest = Math.max(slowest, share * slowdowns[rank]);
            }
            sum += slowest;
        }
        return sum;
    }

    private int[][][] padded(int[][][] placement) {
        int[][][] padded = new int[placement.length][][];
        for (int layer = 0; layer < placement.length; layer++) {
            padded[layer] = new int[placement[layer].length][slotsPerRank];
            for (int rank = 0; rank < placement[layer].length; rank++) {
                for (int slot = 0; slot < slotsPerRank; slot++) {
                    int[] held = placement[layer][rank];
                    padded[layer][rank][slot] = slot < held.length ? held[slot] : ExpertMap.EMPTY;
                }
            }
        }
        return padded;
    }

    private static int[][] withoutEmptySlots(int[][] ranks) {
        int[][] dense = new int[ranks.length][];
        for (int rank = 0; rank < ranks.length; rank++) {
            dense[rank] = Arrays.stream(ranks[rank])
                    .filter(expert -> expert != ExpertMap.EMPTY)
                    .toArray();
        }
        return dense;
    }
}
