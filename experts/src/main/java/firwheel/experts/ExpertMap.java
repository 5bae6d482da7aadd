package firwheel.experts;

import java.util.Arrays;
import java.util.Locale;

/** Immutable expert placement: the expert loaded in each slot of each rank and layer, or {@link #EMPTY}. */
public final class ExpertMap {
    /** Value of a slot that holds no expert. */
    public static final int EMPTY = -1;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final int experts;
    private final int[][][] slots;

    private ExpertMap(int experts, int[][][] slots) {
        this.experts = experts;
        this.slots = slots;
    }

    /** Returns a map of {@code slots}, indexed by layer, rank and slot. */
    public static ExpertMap of(int experts, int[][][] slots) {
        for (int[][] layer : slots) {
            for (int[] rank : layer) {
                for (int expert : rank) {
                    if (expert < EMPTY || expert >= experts) {
                        throw new IllegalArgumentException("expert index out of range: " + expert);
                    }
                }
            }
        }
        return new ExpertMap(experts, copy(slots));
    }

    /**
     * Returns a map that assigns experts to ranks round-robin and fills the spare slots with replicas in the same
     * order.
     */
    public static ExpertMap roundRobin(int layers, int experts, int ranks, int slotsPerRank) {
        if (ranks * slotsPerRank < experts) {
            throw new IllegalArgumentException("too few slots for " + experts + " experts");
        }
        int[][][] slots = new int[layers][ranks][slotsPerRank];
        for (int[][] layer : slots) {
            for (int index = 0; index < ranks * slotsPerRank; index++) {
                layer[index % ranks][index / ranks] = index % experts;
            }
        }
        return new ExpertMap(experts, slots);
    }

    public int layers() {
        return slots.length;
    }

    /** Returns the number of experts in each layer. */
    public int experts() {
        return experts;
    }

    public int ranks() {
        return slots.length == 0 ? 0 : slots[0].length;
    }

    /** Returns a copy of the slots of a layer, indexed by rank and slot. */
    public int[][] layer(int layer) {
        return copy(slots[layer]);
    }

    /** Returns whether {@code rank} holds {@code expert} of {@code layer}. */
    public boolean holds(int layer, int rank, int expert) {
        for (int held : slots[layer][rank]) {
            if (held == expert) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of ranks that hold {@code expert} of {@code layer}. */
    public int copies(int layer, int expert) {
        int copies = 0;
        for (int rank = 0; rank < ranks(); rank++) {
            copies += holds(layer, rank, expert) ? 1 : 0;
        }
        return copies;
    }

    /** Returns the number of experts that all ranks together must load to change from {@code earlier} to this map. */
    public int loadsSince(ExpertMap earlier) {
        int loads = 0;
        for (int layer = 0; layer < layers(); layer++) {
            for (int rank = 0; rank < ranks(); rank++) {
                loads += loadsSince(earlier, layer, rank);
            }
        }
        return loads;
    }

    /** Returns the number of experts of {@code layer} that {@code rank} must load to change from {@code earlier}. */
    public int loadsSince(ExpertMap earlier, int layer, int rank) {
        int loads = 0;
        for (int expert : slots[layer][rank]) {
            loads += expert != EMPTY && !earlier.holds(layer, rank, expert) ? 1 : 0;
        }
        return loads;
    }

    /** Returns the identifier of this map, a 64-bit FNV-1a style hash of its content. */
    public MapId id() {
        long hash = (FNV_OFFSET ^ experts) * FNV_PRIME;
        for (int[][] layer : slots) {
            for (int[] rank : layer) {
                for (int expert : rank) {
                    hash = (hash ^ (expert + 1)) * FNV_PRIME;
                }
                hash = (hash ^ Integer.MAX_VALUE) * FNV_PRIME;
            }
        }
        return new MapId(String.format(Locale.ROOT, "%016x", hash));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ExpertMap map && experts == map.experts && Arrays.deepEquals(slots, map.slots);
    }

    @Override
    public int hashCode() {
        return 31 * experts + Arrays.deepHashCode(slots);
    }

    private static int[][][] copy(int[][][] slots) {
        int[][][] copy = new int[slots.length][][];
        for (int layer = 0; layer < slots.length; layer++) {
            copy[layer] = copy(slots[layer]);
        }
        return copy;
    }

    private static int[][] copy(int[][] layer) {
        int[][] copy = new int[layer.length][];
        for (int rank = 0; rank < layer.length; rank++) {
            copy[rank] = layer[rank].clone();
        }
        return copy;
    }
}
