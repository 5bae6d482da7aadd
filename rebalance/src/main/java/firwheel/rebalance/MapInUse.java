package firwheel.rebalance;

import firwheel.experts.rollout.MapRollout;
import firwheel.experts.rollout.RankView;

/**
 * The expert map that a group uses, as its controller knows it. Which experts the ranks hold is read only if the group
 * was formed again or uses a version that this controller has not rolled out.
 */
final class MapInUse {
    private static final long NO_EPOCH = -1;

    private long epoch = NO_EPOCH;
    private long version = RankView.NONE;
    private int[][][] placement = {};
    private boolean placementKnown;

    /** Forgets the map, for example because other controllers may have changed it. */
    void forget() {
        epoch = NO_EPOCH;
        placementKnown = false;
    }

    /**
     * Records a reading in which all ranks have the same epoch and version.
     *
     * @param view view of any rank
     * @param readPlacement experts by layer, rank and slot, or empty if not all ranks reported them
     * @return whether the group was formed since the last reading
     */
    boolean onRead(RankView view, int[][][] readPlacement) {
        boolean formed = view.epoch() != epoch;
        if (formed || view.mapVersion() != version) {
            placementKnown = false;
        }
        epoch = view.epoch();
        version = view.mapVersion();
        if (readPlacement.length > 0) {
            placement = readPlacement;
            placementKnown = true;
        }
        return formed;
    }

    /** Records that all ranks have switched to the map of a rollout. */
    void onSwitch(MapRollout rollout) {
        version = rollout.version();
        placement = rollout.newPlacement();
        placementKnown = true;
    }

    boolean isPlacementKnown() {
        return placementKnown;
    }

    /** Returns the latest known placement: experts by layer, rank and slot. */
    int[][][] placement() {
        return placement;
    }

    long version() {
        return version;
    }

    long epoch() {
        return epoch;
    }
}
