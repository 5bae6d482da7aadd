package firwheel.experts.plan;

import firwheel.experts.ExpertMap;
import firwheel.experts.plan.ExpertMove.Kind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Baseline planner that recomputes the placement of all experts. Spare slots go one by one to the expert with the
 * highest load per copy; then copies, in descending order of load, are assigned to the least loaded rank with a free
 * slot. This is the global policy of the published Expert Parallelism Load Balancer (EPLB).
 */
public final class RepackPlanner implements MapPlanner {
    private final double minImbalance;

    private RepackPlanner(double minImbalance) {
        this.minImbalance = minImbalance;
    }

    /** Returns a planner that recomputes the placement in each round. */
    public static RepackPlanner everyRound() {
        return new RepackPlanner(-1);
    }

    /**
     * Returns a planner that recomputes the placement when the skew exceeds {@code minImbalance}.
     *
     * @param minImbalance skew summed over all layers, as a fraction of the mean time of a rank
     */
    public static RepackPlanner whenImbalanceExceeds(double minImbalance) {
        return new RepackPlanner(minImbalance);
    }

    @Override
    public MapPlan plan(PlanningInput input) {
        if (imbalance(input) <= minImbalance) {
            return new MapPlan(input.map(), List.of(), List.of());
        }
        int[][][] slots = new int[input.map().layers()][][];
        for (int layer = 0; layer < slots.length; layer++) {
            slots[layer] = pack(input, input.load().layer(layer));
        }
        ExpertMap map = ExpertMap.of(input.map().experts(), slots);
        return new MapPlan(map, moves(input.map(), map), List.of());
    }

    private static double imbalance(PlanningInput input) {
        double skew = 0;
        double mean = 0;
        for (int layer = 0; layer < input.map().layers(); layer++) {
            double[] load = input.load().layer(layer);
            double secondsPerToken = input.costs().secondsPerToken();
            skew += new LayerPlacement(input.map().layer(layer), load, input.ranks(), secondsPerToken).skewSeconds();
            mean += secondsPerToken * Arrays.stream(load).sum() / input.map().ranks();
        }
        return mean == 0 ? 0 : skew / mean;
    }

    private static int[][] pack(PlanningInput input, double[] load) {
        int[][] slots = new int[input.ranks().size()][];
        int total = 0;
        for (int rank = 0; rank < slots.length; rank++) {
            RankCondition condition = input.ranks().get(rank);
            slots[rank] = new int[condition.isServing() ? condition.slotsPerLayer() : 0];
            Arrays.fill(slots[rank], ExpertMap.EMPTY);
            total += slots[rank].length;
        }
        if (total < load.length) {
            throw new IllegalArgumentException("too few slots for " + load.length + " experts: " + total);
        }
        int[] copies = copies(load, total);
        List<Integer> order = new ArrayList<>();
        for (int expert = 0; expert < load.length; expert++) {
            for (int copy = 0; copy < copies[expert]; copy++) {
                order.add(expert);
            }
        }
        order.sort(Comparator.comparingDouble(expert -> -load[expert] / copies[expert]));
        assignToLeastLoaded(slots, order, load, copies, input.ranks());
        return slots;
    }

    private static int[] copies(double[] load, int total) {
        int[] copies = new int[load.length];
        Arrays.fill(copies, 1);
        for (int spare = load.length; spare < total; spare++) {
            int hottest = 0;
            for (int expert = 1; expert < load.length; expert++) {
                if (load[expert] / copies[expert] > load[hottest] / copies[hottest]) {
                    hottest = expert;
                }
            }
            copies[hottest]++;
        }
        return copies;
    }

    private static void assignToLeastLoaded(
            int[][] slots, List<Integer> order, double[] load, int[] copies, List<RankCondition> ranks) {
        double[] seconds = new double[slots.length];
        int[] used = new int[slots.length];
        for (int expert : order) {
            int best = -1;
            for (int rank = 0; rank < slots.length; rank++) {
                boolean free = used[rank] < slots[rank].length;
                if (free && (best < 0 || seconds[rank] < seconds[best])) {
                    best = rank;
                }
            }
            slots[best][used[best]++] = expert;
            seconds[best] += ranks.get(best).slowdown() * load[expert] / copies[expert];
        }
    }

    private static List<ExpertMove> moves(ExpertMap before, ExpertMap after) {
        List<ExpertMove> moves = new ArrayList<>();
        for (int layer = 0; layer < after.layers(); layer++) {
            int[][] slots = after.layer(layer);
            for (int rank = 0; rank < slots.length; rank++) {
                for (int expert : Arrays.stream(slots[rank]).distinct().toArray()) {
                    if (expert != ExpertMap.EMPTY && !before.holds(layer, rank, expert)) {
                        moves.add(new ExpertMove(Kind.REPLICATE, layer, expert, 0, rank, ExpertMap.EMPTY));
                    }
                }
            }
        }
        return moves;
    }
}
