package firwheel.rebalance;

import firwheel.experts.rollout.RankView;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Combines the readings of individual ranks into a view of their group. */
final class GroupReadings {
    private GroupReadings() {}

    /** Returns the views of all ranks in rank order, or an empty list if one is missing. */
    static List<RankView> views(Map<Integer, RankCall.Reading> readings, int size) {
        List<RankView> views = new ArrayList<>();
        for (int rank = 0; rank < size; rank++) {
            RankCall.Reading reading = readings.get(rank);
            if (reading == null || reading.state() == null) {
                return List.of();
            }
            views.add(reading.state().view());
        }
        return views;
    }

    /** Returns whether all ranks are open and in the same group epoch. */
    static boolean areOpenInSameEpoch(List<RankView> views) {
        return views.stream()
                .allMatch(view -> view.open() && view.epoch() == views.get(0).epoch());
    }

    /** Returns the map version that each rank uses, in rank order. */
    static List<Long> mapVersions(List<RankView> views) {
        return views.stream().map(RankView::mapVersion).toList();
    }

    /** Returns the experts by layer, rank and slot, or an empty array if a rank did not report its experts. */
    static int[][][] placement(Map<Integer, RankCall.Reading> readings, int size) {
        int[][][] placement = new int[0][][];
        for (int rank = 0; rank < size; rank++) {
            RankCall.Reading reading = readings.get(rank);
            int[][] placed = reading == null ? null : reading.placed();
            if (placed == null) {
                return new int[0][][];
            }
            if (placement.length == 0) {
                placement = new int[placed.length][size][];
            }
            for (int layer = 0; layer < placed.length; layer++) {
                placement[layer][rank] = placed[layer];
            }
        }
        return placement;
    }

    /** Returns each rank's slowdown, or 1 for ranks without a reading. */
    static double[] slowdowns(Map<Integer, RankCall.Reading> readings, int size) {
        double[] slowdowns = new double[size];
        Arrays.fill(slowdowns, 1);
        readings.forEach((rank, reading) -> {
            EngineState state = reading.state();
            if (state != null && rank < size) {
                slowdowns[rank] = state.slowdown();
            }
        });
        return slowdowns;
    }

    /**
     * Returns how often each expert was selected, summed over the ranks that reported it, or an empty array if there is
     * no such rank.
     */
    static long[] selections(Map<Integer, RankCall.Reading> readings) {
        long[] sum = new long[0];
        for (RankCall.Reading reading : readings.values()) {
            SelectionDigest digest = reading.selections();
            if (digest == null) {
                continue;
            }
            sum = sum.length == 0 ? new long[digest.size()] : sum;
            for (int i = 0; i < Math.min(sum.length, digest.size()); i++) {
                sum[i] += digest.count(i);
            }
        }
        return sum;
    }
}
