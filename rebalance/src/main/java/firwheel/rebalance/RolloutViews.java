package firwheel.rebalance;

import firwheel.experts.rollout.RankView;
import firwheel.model.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Latest views of the ranks of a group during a rollout, in rank order. */
final class RolloutViews {
    private final TimeSource time;
    private List<RankView> views = new ArrayList<>();
    private long groupReadNanos;

    RolloutViews(TimeSource time) {
        this.time = time;
    }

    /** Records views of all ranks; an empty list means that one could not be read. */
    void onGroupRead(List<RankView> read) {
        views = new ArrayList<>(read);
        groupReadNanos = time.monotonicNanos();
    }

    /** Returns whether all ranks were read within {@code maxAge}. */
    boolean isGroupReadWithin(Duration maxAge) {
        return !views.isEmpty() && time.monotonicNanos() - groupReadNanos < maxAge.toNanos();
    }

    /** Returns the views with a newer one of a single rank. */
    List<RankView> withNewer(int rank, RankView view) {
        views.set(rank, view);
        return views;
    }
}
