package firwheel.routing;

import firwheel.model.RankKey;
import firwheel.model.TargetRow;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The ranks of one serving row. If the row is a model group, its ranks advance in lockstep. */
final class RankGroup {
    private final TargetRow row;
    private final List<RankCandidate> ranks;
    private final long servingSinceNanos;
    private volatile @Nullable GroupLoad load;

    /**
     * Creates the group of {@code row}.
     *
     * @param servingSinceNanos monotonic time at which the row changed from joining to serving; {@link Long#MIN_VALUE}
     *     if it was never seen joining
     */
    RankGroup(TargetRow row, long servingSinceNanos) {
        this.row = row;
        this.servingSinceNanos = servingSinceNanos;
        this.ranks = row.hosts().stream()
                .map(address -> new RankCandidate(new RankKey(row.name(), address.rank()), address, row, this))
                .toList();
    }

    TargetRow row() {
        return row;
    }

    List<RankCandidate> ranks() {
        return ranks;
    }

    long servingSinceNanos() {
        return servingSinceNanos;
    }

    /** Returns the cached summary of the group's load, computed again if it is too old. */
    GroupLoad load(RoutingView view, GroupLoadOptions options) {
        GroupLoad cached = load;
        if (cached != null && view.nowNanos() - cached.readAtNanos() <= options.maxAgeNanos()) {
            return cached;
        }
        GroupLoad current = GroupLoad.read(this, view, options.requestOverheadTokens());
        load = current;
        return current;
    }

    /**
     * Returns the fraction of its weight that the row has at this point of its ramp-up; 1 if it was never seen joining.
     */
    double rampUpFraction(long nowNanos, long rampUpNanos, double initialFraction) {
        if (servingSinceNanos == Long.MIN_VALUE) {
            return 1.0;
        }
        double elapsed = (double) (nowNanos - servingSinceNanos) / rampUpNanos;
        return Math.min(1.0, initialFraction + (1.0 - initialFraction) * Math.max(0, elapsed));
    }
}
