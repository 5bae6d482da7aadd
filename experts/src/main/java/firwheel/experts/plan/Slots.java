package firwheel.experts.plan;

import firwheel.experts.ExpertMap;
import java.util.Arrays;
import java.util.List;

/** Operations on the slots of one layer, indexed by rank and slot. */
final class Slots {
    private Slots() {}

    static int[][] copy(int[][] slots) {
        return Arrays.stream(slots).map(int[]::clone).toArray(int[][]::new);
    }

    /** Returns a copy of the slots, padded with empty slots up to the capacity of each rank. */
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
