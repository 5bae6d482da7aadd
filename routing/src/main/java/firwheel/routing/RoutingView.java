package firwheel.routing;

import firwheel.model.RankKey;
import firwheel.model.TableSnapshot;

/**
 * What a routing decision reads. Implementations are safe to read from any thread and do not change during a decision.
 */
public interface RoutingView {
    /** Returns the table in force. */
    TableSnapshot table();

    /** Returns what is known of a rank's load. */
    RankLoad load(RankKey key);

    /** Returns the zone of this entry. */
    String ownZone();

    /** Returns the monotonic time of the decision in nanoseconds. */
    long nowNanos();
}
