package firwheel.routing;

import firwheel.model.RankKey;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import java.util.List;

/**
 * What a routing decision reads. Implementations are safe to read from any thread; the table and the time do not change
 * during a decision, and the load of each rank is an immutable value.
 */
public interface RoutingView {
    /** Returns the table in force. */
    TableSnapshot table();

    /** Returns what is known of a rank's load. */
    RankLoad load(RankKey key);

    /** Returns ranks that were probed lately for this model or service; their loads are fresh. */
    default List<RankKey> recentlyProbed(TargetKind kind, String servedName) {
        return List.of();
    }

    /** Returns the zone of this entry. */
    String ownZone();

    /** Returns the monotonic time of the decision in nanoseconds. */
    long nowNanos();
}
