package firwheel.rebalance;

import firwheel.experts.rollout.RankView;
import java.util.ArrayList;
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
    static boolean sameFormation(List<RankView> views) {
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
            for (int set = 0; set < placed.length; set++) {
                placement[set][rank] = placed[set];
            }
        }
        return placement;
    }

    /** Returns how often each expert was chosen, over all ranks. */
    static long[] totals(Map<Integer, RankCall.Reading> readings) {
        long[] totals = new long[0];
        for (RankCall.Reading reading : readings.values()) {
            long[] counts = reading.counts();
            if (counts == null) {
                continue;
            }
            totals = totals.length == 0 ? new long[counts.length] : totals;
            for (int i = 0; i < totals.length; i++) {
                totals[i] += counts[i];
            }
        }
        return totals;
    }
}
