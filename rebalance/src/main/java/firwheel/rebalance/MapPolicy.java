package firwheel.rebalance;

import firwheel.experts.ExpertMap;
import firwheel.experts.plan.CostModel;
import firwheel.experts.plan.IncrementalPlanner;
import firwheel.experts.plan.LoadEstimate;
import firwheel.experts.plan.PlanLimits;
import firwheel.experts.plan.PlanPrices;
import firwheel.experts.plan.PlanningInput;
import firwheel.experts.plan.RankCondition;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a group's map is worth changing, and to what. Keeps the choices of experts as a fading mean, since
 * demand moves on within seconds. No I/O.
 */
public final class MapPolicy {
    private static final double NEWEST_WEIGHT = 0.4; // a shift of demand counts for most of the estimate after a second
    private static final double LEAST_RELIEF = 0.12; // passes are slower while experts are loaded, by 15 in 100
    private static final double LEAST_RELIEF_PER_LOAD = 0.01; // of a rank's mean load; loading has a price
    private static final double MIN_CHOICES_PER_EXPERT = 20; // below it the shares of experts are chance
    private static final double SECONDS_PER_TOKEN = 1e-6; // only ratios matter
    private static final long GIB = 1L << 30;
    private static final CostModel RELATIVE_COSTS = new CostModel(SECONDS_PER_TOKEN, 1, GIB, 1, 1, 0, 0, 0);
    private static final int MAX_MOVES = 10_000; // each layer has a bound of its own

    private final int sets;
    private final int experts;
    private final int places;
    private final int spare;
    private final IncrementalPlanner planner = new IncrementalPlanner();
    private @Nullable LoadEstimate estimate;

    /** Creates a policy for a group whose engines have these figures. */
    public MapPolicy(int sets, int experts, int places, int spare) {
        this.sets = sets;
        this.experts = experts;
        this.places = places;
        this.spare = spare;
    }

    /** Forgets the choices, for instance because the group was formed anew. */
    public void reset() {
        estimate = null;
    }

    /** Takes how often each expert was chosen since the last call, set after set, over all ranks. */
    public void onChoices(long[] choices) {
        double[][] bySet = new double[sets][experts];
        double total = 0;
        for (int set = 0; set < sets; set++) {
            for (int expert = 0; expert < experts; expert++) {
                bySet[set][expert] = choices[set * experts + expert];
                total += bySet[set][expert];
            }
        }
        if (total < MIN_CHOICES_PER_EXPERT * sets * experts) {
            return;
        }
        double scale = sets * experts / total;
        for (double[] set : bySet) {
            for (int expert = 0; expert < experts; expert++) {
                set[expert] *= scale;
            }
        }
        estimate = estimate == null ? LoadEstimate.of(bySet) : estimate.updated(bySet, NEWEST_WEIGHT);
    }

    /**
     * Returns a better placement by set, rank and place, or null where the present one is good enough.
     *
     * @param present placement in force
     * @param slowdowns time of each rank for a unit of work relative to its usual one; all wait for the slowest
     */
    public int @Nullable [][][] plan(int[][][] present, double[] slowdowns) {
        LoadEstimate load = estimate;
        if (load == null) {
            return null;
        }
        ExpertMap map = ExpertMap.of(experts, padded(present));
        int ranks = map.ranks();
        PlanLimits limits = new PlanLimits(MAX_MOVES, spare * ranks, spare, 1);
        PlanningInput input = new PlanningInput(
                map,
                load,
                Arrays.stream(slowdowns)
                        .mapToObj(slowdown -> new RankCondition(RankCondition.State.SERVING, slowdown, places))
                        .toList(),
                new PlanPrices(1, LEAST_RELIEF_PER_LOAD * SECONDS_PER_TOKEN * experts / ranks),
                RELATIVE_COSTS,
                limits);
        ExpertMap planned = planner.plan(input).map();
        int[][][] placement = new int[sets][][];
        for (int set = 0; set < sets; set++) {
            placement[set] = withoutGaps(planned.layer(set));
        }
        double before = slowestShares(present, slowdowns, load);
        double after = slowestShares(placement, slowdowns, load);
        return after < before * (1 - LEAST_RELIEF) ? placement : null;
    }

    /** Returns how far the slowest rank of a set is above the mean of even and usual ranks, over all sets. */
    public double imbalance(int[][][] placement, double[] slowdowns) {
        LoadEstimate load = estimate;
        return load == null ? 1 : slowestShares(placement, slowdowns, load) * slowdowns.length / total(load);
    }

    private double total(LoadEstimate load) {
        double total = 0;
        for (int set = 0; set < sets; set++) {
            for (double tokens : load.layer(set)) {
                total += tokens;
            }
        }
        return Math.max(total, Double.MIN_NORMAL);
    }

    private double slowestShares(int[][][] placement, double[] slowdowns, LoadEstimate load) {
        double sum = 0;
        for (int set = 0; set < sets; set++) {
            double[] tokens = load.layer(set);
            int[] copies = new int[experts];
            for (int[] rank : placement[set]) {
                for (int expert : rank) {
                    copies[expert]++;
                }
            }
            double slowest = 0;
            for (int rank = 0; rank < slowdowns.length; rank++) {
                double share = 0;
                for (int expert : placement[set][rank]) {
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
        for (int set = 0; set < placement.length; set++) {
            padded[set] = new int[placement[set].length][places];
            for (int rank = 0; rank < placement[set].length; rank++) {
                for (int place = 0; place < places; place++) {
                    int[] held = placement[set][rank];
                    padded[set][rank][place] = place < held.length ? held[place] : ExpertMap.EMPTY;
                }
            }
        }
        return padded;
    }

    private static int[][] withoutGaps(int[][] ranks) {
        int[][] dense = new int[ranks.length][];
        for (int rank = 0; rank < ranks.length; rank++) {
            dense[rank] = Arrays.stream(ranks[rank])
                    .filter(expert -> expert != ExpertMap.EMPTY)
                    .toArray();
        }
        return dense;
    }
}
