package firwheel.routing;

import firwheel.model.RankKey;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import java.util.List;

/**
 * Input of a routing decision. Implementations are thread-safe; the table and the time do not change during a decision,
 * and the load of each rank is an immutable value.
 */
public interface RoutingView {
    /** Returns the current table. */
    TableSnapshot table();

    /** Returns the load of a rank as seen by this entry. */
    RankLoad load(RankKey key);

    /** Returns ranks that were recently probed for this model or service, so that their loads are up to date. */
    default List<RankKey> recentlyProbed(TargetKind kind, String servedName) {
        return List.of();
    }

    /** Returns the zone of this entry. */
    String ownZone();

    /** Returns the monotonic time of the decision in nanoseconds. */
    long nowNanos();
}
