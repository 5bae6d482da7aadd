package firwheel.experts.plan;

import firwheel.experts.ExpertMap;
import java.util.Arrays;
import java.util.List;

/**
 * Mutable placement of one layer with the predicted time of each rank. The load of an expert is divided evenly among
 * its copies. Not thread-safe.
 */
final class LayerPlacement {
    /**
     * Factor of the error margin {@code factor * relativeError * share * share / mean}, which approximates how much the
     * error of an expert's load raises the expected maximum over the ranks, for typical spreads of load.
     */
    private static final double ERROR_MARGIN_FACTOR = 4;

    /** Scale of a Gumbel distribution with standard deviation 1. */
    private static final double GUMBEL_SCALE = Math.sqrt(6) / Math.PI;

    private final int[][] slots;
    private final int[] copies;
    private final int[][] holders;
    private final int[] holderCounts;
    private final boolean[][] held;
    private final double[] shareWithMargin;
    private final double[] largestShare;
    private final double[] seconds;
    private final double[] errorMargin;
    private final double relativeError;
    private double marginPerSquaredSecond;
    private final double[] expertSeconds;
    private final double[] slowdown;
    private final boolean[] isServing;

    LayerPlacement(int[][] slots, double[] tokensPerStep, List<RankCondition> ranks, double secondsPerToken) {
        this(slots, tokensPerStep, ranks, secondsPerToken, 0);
    }

    /**
     * Creates a placement that uses {@code slots} without copying them.
     *
     * @param relativeError standard deviation of an expert's load divided by the load; 0 for exact loads
     */
    LayerPlacement(
            int[][] slots,
            double[] tokensPerStep,
            List<RankCondition> ranks,
            double secondsPerToken,
            double relativeError) {
        this.relativeError = relativeError;
        this.slots = slots;
        this.copies = new int[tokensPerStep.length];
        this.holders = new int[tokensPerStep.length][slots.length];
        this.holderCounts = new int[tokensPerStep.length];
        this.held = new boolean[slots.length][tokensPerStep.length];
        this.shareWithMargin = new double[tokensPerStep.length];
        this.largestShare = new double[slots.length];
        this.expertSeconds = Arrays.stream(tokensPerStep)
                .map(tokens -> tokens * secondsPerToken)
                .toArray();
        this.slowdown = ranks.stream().mapToDouble(RankCondition::slowdown).toArray();
        this.isServing = new boolean[slots.length];
        this.seconds = new double[slots.length];
        this.errorMargin = new double[slots.length];
        for (int rank = 0; rank < slots.length; rank++) {
            isServing[rank] = ranks.get(rank).isServing();
            for (int expert : slots[rank]) {
                markHeld(rank, expert);
            }
        }
        recompute();
        double mean = meanSeconds();
        this.marginPerSquaredSecond = mean == 0 ? 0 : ERROR_MARGIN_FACTOR * relativeError / mean;
        recompute();
    }

    int ranks() {
        return slots.length;
    }

    boolean isServing(int rank) {
        return isServing[rank];
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

    /** Returns the number of serving ranks that hold an expert. */
    int holderCount(int expert) {
        return holderCounts[expert];
    }

    /** Returns a serving rank that holds an expert, by an index below {@link #holderCount}. */
    int holder(int expert, int index) {
        return holders[expert][index];
    }

    /** Returns the rank's predicted time plus a margin for the error of its experts' loads, in seconds per step. */
    double secondsWithMargin(int rank) {
        return seconds[rank] + errorMargin[rank];
    }

    int[][] slots() {
        return slots;
    }

    /** Returns the time of one of {@code count} copies of {@code expert} plus its error margin, in seconds per step. */
    double shareWithMargin(int expert, int count) {
        if (expert == ExpertMap.EMPTY) {
            return 0;
        }
        double share = expertSeconds[expert] / count;
        return share + marginPerSquaredSecond * share * share;
    }

    /** Returns the time of one copy of {@code expert} plus its error margin, in seconds per step. */
    double shareWithMargin(int expert) {
        return expert == ExpertMap.EMPTY ? 0 : shareWithMargin[expert];
    }

    /** Returns the largest {@link #shareWithMargin} of the experts on a rank. */
    double largestShareWithMargin(int rank) {
        return largestShare[rank];
    }

    private double share(int expert) {
        return expert == ExpertMap.EMPTY ? 0 : expertSeconds[expert] / copies[expert];
    }

    double slowdown(int rank) {
        return slowdown[rank];
    }

    boolean holds(int rank, int expert) {
        return held[rank][expert];
    }

    /** Returns up to {@code limit} of the slowest serving ranks, slowest first. */
    int[] slowestRanks(int limit) {
        int[] slowest = new int[limit];
        int found = 0;
        for (int rank = 0; rank < seconds.length; rank++) {
            if (!isServing[rank]) {
                continue;
            }
            int position = found;
            while (position > 0 && secondsWithMargin(rank) > secondsWithMargin(slowest[position - 1])) {
                position--;
            }
            if (position < limit) {
                int kept = Math.min(found, limit - 1);
                System.arraycopy(slowest, position, slowest, position + 1, kept - position);
                slowest[position] = rank;
                found = kept + 1;
            }
        }
        return Arrays.copyOf(slowest, found);
    }

    /** Returns the time of the slowest serving rank minus the mean over serving ranks, in seconds per step. */
    double skewSeconds() {
        return maxSeconds() - meanSeconds();
    }

    /**
     * Returns the expected {@link #skewSeconds} when the load of each expert has an independent error. The errors of
     * the ranks are modelled as Gumbel-distributed with the same standard deviation, since the expected maximum then
     * has a closed form.
     */
    double expectedSkewSeconds() {
        double scale = GUMBEL_SCALE * relativeError * meanDeviationPerError();
        if (scale <= 0) {
            return skewSeconds();
        }
        double mean = meanSeconds();
        double max = maxSeconds();
        double sum = 0;
        for (int rank = 0; rank < seconds.length; rank++) {
            sum += isServing[rank] ? Math.exp((seconds[rank] - max) / scale) : 0;
        }
        return max - mean + scale * Math.log(sum);
    }

    private double meanDeviationPerError() {
        double sum = 0;
        int count = 0;
        for (int rank = 0; rank < slots.length; rank++) {
            if (isServing[rank]) {
                double squares = 0;
                for (int expert : slots[rank]) {
                    squares += share(expert) * share(expert);
                }
                sum += slowdown[rank] * Math.sqrt(squares);
                count++;
            }
        }
        return count == 0 ? 0 : sum / count;
    }

    private double maxSeconds() {
        double max = 0;
        for (int rank = 0; rank < seconds.length; rank++) {
            max = isServing[rank] ? Math.max(max, seconds[rank]) : max;
        }
        return max;
    }

    private double meanSeconds() {
        double sum = 0;
        int count = 0;
        for (int rank = 0; rank < seconds.length; rank++) {
            sum += isServing[rank] ? seconds[rank] : 0;
            count += isServing[rank] ? 1 : 0;
        }
        return count == 0 ? 0 : sum / count;
    }

    void set(int rank, int slot, int expert) {
        int occupant = slots[rank][slot];
        slots[rank][slot] = expert;
        markHeld(rank, occupant);
        markHeld(rank, expert);
        recompute();
    }

    /** Adds a rank, in ascending order. */
    private void addHolder(int expert, int rank) {
        int count = holderCounts[expert];
        if (count == 0 || holders[expert][count - 1] != rank) {
            holders[expert][count] = rank;
            holderCounts[expert]++;
        }
    }

    private void markHeld(int rank, int expert) {
        if (expert != ExpertMap.EMPTY) {
            held[rank][expert] = Arrays.stream(slots[rank]).anyMatch(holds -> holds == expert);
        }
    }

    private void recompute() {
        Arrays.fill(copies, 0);
        Arrays.fill(holderCounts, 0);
        for (int rank = 0; rank < slots.length; rank++) {
            for (int expert : slots[rank]) {
                if (expert != ExpertMap.EMPTY && isServing[rank]) {
                    copies[expert]++;
                    addHolder(expert, rank);
                }
            }
        }
        for (int expert = 0; expert < copies.length; expert++) {
            shareWithMargin[expert] = shareWithMargin(expert, copies[expert]);
        }
        for (int rank = 0; rank < slots.length; rank++) {
            double sum = 0;
            double squares = 0;
            largestShare[rank] = 0;
            for (int expert : slots[rank]) {
                double share = isServing[rank] ? share(expert) : 0;
                sum += share;
                squares += share * share;
                largestShare[rank] = Math.max(largestShare[rank], shareWithMargin(expert));
            }
            seconds[rank] = sum * slowdown[rank];
            errorMargin[rank] = marginPerSquaredSecond * squares * slowdown[rank];
        }
    }
}
