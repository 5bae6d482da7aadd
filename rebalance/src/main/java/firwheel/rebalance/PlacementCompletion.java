package firwheel.rebalance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Makes a map of the experts that ranks hold. Ranks that use different maps need not hold all experts between them, so
 * missing ones are added, to the rank with the fewest additions, in a free slot or in place of an expert that other
 * ranks hold as well.
 */
final class PlacementCompletion {
    private final int experts;
    private final int slotsPerRank;

    PlacementCompletion(int experts, int slotsPerRank) {
        this.experts = experts;
        this.slotsPerRank = slotsPerRank;
    }

    /** Returns a placement by layer, rank and slot that has each expert at least once. */
    int[][][] complete(int[][][] held) {
        return Arrays.stream(held).map(this::completeLayer).toArray(int[][][]::new);
    }

    private int[][] completeLayer(int[][] held) {
        List<List<Integer>> ranks = new ArrayList<>();
        int[] copies = new int[experts];
        for (int[] rank : held) {
            List<Integer> slots = new ArrayList<>();
            for (int expert : rank) {
                slots.add(expert);
                copies[expert]++;
            }
            ranks.add(slots);
        }
        int[] additions = new int[held.length];
        for (int expert = 0; expert < experts; expert++) {
            if (copies[expert] == 0) {
                add(expert, ranks, copies, additions);
            }
        }
        return ranks.stream()
                .map(slots -> slots.stream().mapToInt(Integer::intValue).toArray())
                .toArray(int[][]::new);
    }

    private void add(int expert, List<List<Integer>> ranks, int[] copies, int[] additions) {
        int best = -1;
        for (int rank = 0; rank < ranks.size(); rank++) {
            List<Integer> slots = ranks.get(rank);
            boolean possible = slots.size() < slotsPerRank || slots.stream().anyMatch(held -> copies[held] > 1);
            if (possible && (best < 0 || additions[rank] < additions[best])) {
                best = rank;
            }
        }
        if (best < 0) {
            throw new IllegalArgumentException(
                    "no slot for expert " + expert + " on " + ranks.size() + " ranks of " + slotsPerRank + " slots");
        }
        List<Integer> slots = ranks.get(best);
        if (slots.size() >= slotsPerRank) {
            int replaced = 0;
            while (copies[slots.get(replaced)] < 2) {
                replaced++;
            }
            copies[slots.remove(replaced)]--;
        }
        slots.add(expert);
        copies[expert]++;
        additions[best]++;
    }
}
