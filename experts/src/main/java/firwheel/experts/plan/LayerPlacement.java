package firwheel.experts.plan;

import firwheel.experts.ExpertMap;
import java.util.Arrays;
import java.util.List;

/**
 * Working copy of one layer's placement with the predicted time of each rank. Copies of an expert share its load
 * evenly. Confined to one thread.
 */
final class LayerPlacement {
    private final int[][] slots;
    private final int[] copies;
    private final double[] seconds;
    private final double[] expertSeconds;
    private final double[] slowdown;
    private final boolean[] serves;

    LayerPlacement(int[][] slots, double[] tokensPerStep, List<RankCondition> ranks, double secondsPerToken) {
        this.slots = slots;
        this.copies = new int[tokensPerStep.length];
        this.expertSeconds = Arrays.stream(tokensPerStep)
                .map(tokens -> tokens * secondsPerToken)
                .toArray();
        this.slowdown = ranks.stream().mapToDouble(RankCondition::slowdown).toArray();
        this.serves = new boolean[slots.length];
        this.seconds = new double[slots.length];
        for (int rank = 0; rank < slots.length; rank++) {
            serves[rank] = ranks.get(rank).serves();
        }
        recount();
    }

    int ranks() {
        return slots.length;
    }

    boolean serves(int rank) {
        return serves[rank];
    }

    int slotCount(int rank) {
        return slots[rank].length;
    }

    int expert(int rank, int slot) {
        return slots[rank][slot];
    }

    int copies(int expert) {
        return copies[expert];
    }

    double seconds(int rank) {
        return seconds[rank];
    }

    int[][] slots() {
        return slots;
    }

    /** Returns the time of one copy of {@code expert} on a rank of usual speed, if it has {@code count} copies. */
    double share(int expert, int count) {
        return expert == ExpertMap.EMPTY ? 0 : expertSeconds[expert] / count;
    }

    double share(int expert) {
        return expert == ExpertMap.EMPTY ? 0 : expertSeconds[expert] / copies[expert];
    }

    double slowdown(int rank) {
        return slowdown[rank];
    }

    boolean holds(int rank, int expert) {
        for (int held : slots[rank]) {
            if (held == expert) {
                return true;
            }
        }
        return false;
    }

    int slowest() {
        int slowest = -1;
        for (int rank = 0; rank < seconds.length; rank++) {
            if (serves[rank] && (slowest < 0 || seconds[rank] > seconds[slowest])) {
                slowest = rank;
            }
        }
        return slowest;
    }

    /** Returns by how much the slowest serving rank trails the mean of them, in seconds a step. */
    double skewSeconds() {
        double sum = 0;
        double max = 0;
        int count = 0;
        for (int rank = 0; rank < seconds.length; rank++) {
            if (serves[rank]) {
                sum += seconds[rank];
                max = Math.max(max, seconds[rank]);
                count++;
            }
        }
        return count == 0 ? 0 : max - sum / count;
    }

    void set(int rank, int slot, int expert) {
        slots[rank][slot] = expert;
        recount();
    }

    private void recount() {
        Arrays.fill(copies, 0);
        for (int rank = 0; rank < slots.length; rank++) {
            for (int expert : slots[rank]) {
                if (expert != ExpertMap.EMPTY && serves[rank]) {
                    copies[expert]++;
                }
            }
        }
        for (int rank = 0; rank < slots.length; rank++) {
            double sum = 0;
            for (int expert : slots[rank]) {
                sum += serves[rank] ? share(expert) : 0;
            }
            seconds[rank] = sum * slowdown[rank];
        }
    }
}
