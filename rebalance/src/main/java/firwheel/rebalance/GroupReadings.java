package firwheel.rebalance;

import firwheel.experts.rollout.RankView;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Puts the readings of single ranks together to what they say of their group. */
final class GroupReadings {
    private GroupReadings() {}

    /** Returns the states of all ranks in order, or nothing where one is missing. */
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

    /** Returns whether all ranks are open in one formation with one map. */
    static boolean areInSameEpochWithSameMap(List<RankView> views) {
        RankView first = views.get(0);
        return views.stream()
                .allMatch(view ->
                        view.open() && view.epoch() == first.epoch() && view.mapVersion() == first.mapVersion());
    }

    /** Returns the experts by set and rank, or nothing where a rank did not tell its own. */
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

    /** Returns each rank's time for a unit of work relative to its usual one. */
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

    /** Returns how often requests of each rank chose each expert, for the ranks that told. */
    static Map<Integer, long[]> counts(Map<Integer, RankCall.Reading> readings) {
        Map<Integer, long[]> counts = new HashMap<>();
        readings.forEach((rank, reading) -> {
            long[] rankCounts = reading.counts();
            if (rankCounts != null) {
                counts.put(rank, rankCounts);
            }
        });
        return counts;
    }

    /**
     * Returns how often each expert was chosen between two readings, over the ranks that told both times and did not
     * start anew, or nothing where there is none.
     */
    static long[] countIncrease(Map<Integer, long[]> earlierByRank, Map<Integer, long[]> laterByRank) {
        long[] increase = new long[0];
        for (Map.Entry<Integer, long[]> entry : laterByRank.entrySet()) {
            long[] later = entry.getValue();
            long[] earlier = earlierByRank.get(entry.getKey());
            if (earlier == null || earlier.length != later.length) {
                continue;
            }
            increase = increase.length == 0 ? new long[later.length] : increase;
            for (int i = 0; i < Math.min(increase.length, later.length); i++) {
                increase[i] += Math.max(0, later[i] - earlier[i]);
            }
        }
        return increase;
    }
}
