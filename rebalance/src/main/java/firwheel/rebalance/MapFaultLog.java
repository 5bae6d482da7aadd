package firwheel.rebalance;

import firwheel.experts.rollout.MapRollout;
import firwheel.experts.rollout.RankView;
import firwheel.model.EventCode;
import firwheel.model.Events;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs and counts states of a group in which its ranks use different maps, or could soon. */
final class MapFaultLog {
    private static final Logger logger = LoggerFactory.getLogger(MapFaultLog.class);

    private final MapMetrics metrics;
    private @Nullable MapRollout lastHoldLoss;

    MapFaultLog(MapMetrics metrics) {
        this.metrics = metrics;
    }

    /** Records that ranks are brought to the same map by a repair of {@code version}. */
    void onMapsDiffer(String group, List<RankView> views, long version) {
        metrics.countFault("maps-differ");
        Events.log(
                logger,
                EventCode.MAPS_DIFFER,
                "group",
                group,
                "maps",
                GroupReadings.mapVersions(views),
                "step",
                views.get(0).step(),
                "version",
                version);
    }

    /** Records, once for each rollout, that its hold or that of an earlier one was lost. */
    void onOrders(String group, MapRollout rollout) {
        if (rollout.holdLost() && rollout != lastHoldLoss) {
            lastHoldLoss = rollout;
            metrics.countFault("hold-lost");
            Events.log(logger, EventCode.HOLD_LOST, "group", group, "state", rollout.toString());
        }
    }
}
