package firwheel.experts.plan;

import firwheel.experts.ExpertMap;
import firwheel.experts.plan.ExpertMove.Kind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Moves required so that every expert of a layer has a copy on a serving rank and all other ranks are empty.
 *
 * @param slots slots after the moves, indexed by rank and slot
 * @param moves experts that must be loaded regardless of their price
 * @param unplaced number of experts for which no slot could be freed
 */
@SuppressWarnings("ArrayRecordComponent") // confined to the planner
record Evacuation(int[][] slots, List<ExpertMove> moves, int unplaced) {

    static Evacuation of(PlanningInput input, int layer, int[][] currentSlots) {
        double[] load = input.load().layer(layer);
        int[][] slots = Slots.copy(currentSlots);
        for (int rank = 0; rank < slots.length; rank++) {
            if (!input.ranks().get(rank).isServing()) {
                Arrays.fill(slots[rank], ExpertMap.EMPTY);
            }
        }
        List<ExpertMove> moves = new ArrayList<>();
        int unplaced = 0;
        for (int expert : expertsWithoutCopy(slots, load)) {
            int source = findSourceRank(input.ranks(), currentSlots, expert);
            LayerPlacement placement = placement(input, slots, load);
            unplaced += place(placement, layer, expert, source, moves) ? 0 : 1;
        }
        return new Evacuation(slots, moves, unplaced);
    }

    private static LayerPlacement placement(PlanningInput input, int[][] slots, double[] load) {
        return new LayerPlacement(slots, load, input.ranks(), input.costs().secondsPerToken());
    }

    private static List<Integer> expertsWithoutCopy(int[][] slots, double[] load) {
        boolean[] held = new boolean[load.length];
        for (int[] rank : slots) {
            for (int expert : rank) {
                if (expert != ExpertMap.EMPTY) {
                    held[expert] = true;
                }
            }
        }
        return IntStream.range(0, load.length)
                .filter(expert -> !held[expert])
                .boxed()
                .sorted(Comparator.comparingDouble(expert -> -load[expert]))
                .toList();
    }

    private static int findSourceRank(List<RankCondition> ranks, int[][] currentSlots, int expert) {
        for (int rank = 0; rank < currentSlots.length; rank++) {
            boolean readable = ranks.get(rank).state() != RankCondition.State.DEAD;
            if (readable && Arrays.stream(currentSlots[rank]).anyMatch(held -> held == expert)) {
                return rank;
            }
        }
        return ExpertMove.WEIGHT_STORE;
    }

    private static boolean place(LayerPlacement placement, int layer, int expert, int source, List<ExpertMove> moves) {
        int bestRank = -1;
        int bestSlot = -1;
        double leastSeconds = Double.MAX_VALUE;
        for (int rank = 0; rank < placement.ranks(); rank++) {
            for (int slot = 0; placement.isServing(rank) && slot < placement.slotCount(rank); slot++) {
                int occupant = placement.expert(rank, slot);
                boolean replaceable = occupant == ExpertMap.EMPTY || placement.copies(occupant) > 1;
                double secondsAfter = placement.secondsWithMargin(rank) + placement.shareWithMargin(occupant);
                if (replaceable && secondsAfter < leastSeconds) {
                    leastSeconds = secondsAfter;
                    bestRank = rank;
                    bestSlot = slot;
                }
            }
        }
        if (bestRank < 0) {
            return false;
        }
        int replaced = placement.expert(bestRank, bestSlot);
        moves.add(new ExpertMove(Kind.EVACUATE, layer, expert, source, bestRank, replaced));
        placement.set(bestRank, bestSlot, expert);
        return true;
    }
}
