package firwheel.experts.plan;

import firwheel.experts.ExpertMap;
import java.util.Arrays;
import java.util.List;

/** Slots of one layer, indexed by rank and slot. */
final class Slots {
    private Slots() {}

    static int[][] copy(int[][] slots) {
        return Arrays.stream(slots).map(int[]::clone).toArray(int[][]::new);
    }

    /** Returns the slots with at least as many on each rank as fit into its memory. */
    static int[][] extendToCapacity(int[][] slots, List<RankCondition> ranks) {
        int[][] extended = new int[slots.length][];
        for (int rank = 0; rank < slots.length; rank++) {
            int slotCount = Math.max(slots[rank].length, ranks.get(rank).slotsPerLayer());
            extended[rank] = Arrays.copyOf(slots[rank], slotCount);
            Arrays.fill(extended[rank], slots[rank].length, slotCount, ExpertMap.EMPTY);
        }
        return extended;
    }
}
