package firwheel.rebalance;

import firwheel.experts.rollout.RankView;
import java.util.List;

/**
 * Detects ranks that use different maps. Ranks are not read at the same moment, so a reading during which they switch
 * shows different maps, too; the next one does not.
 */
final class MapDisagreement {
    private List<Long> lastVersions = List.of();
    private boolean present;
    private boolean confirmed;

    /** Forgets earlier readings. */
    void forget() {
        lastVersions = List.of();
        present = false;
        confirmed = false;
    }

    /** Records a reading of all ranks, in the same epoch. */
    void onRead(List<RankView> views) {
        List<Long> versions = GroupReadings.mapVersions(views);
        present = versions.stream().distinct().count() > 1;
        confirmed = present && versions.equals(lastVersions);
        lastVersions = versions;
    }

    /** Returns whether the ranks used different maps in the latest reading. */
    boolean isPresent() {
        return present;
    }

    /** Returns whether they did in the reading before as well, each rank the same one. */
    boolean isConfirmed() {
        return confirmed;
    }
}
