package firwheel.experts.rollout;

import firwheel.experts.rollout.RankOrder.Action;

/** Makes the orders of one rollout. */
final class RolloutOrders {
    private static final int[][][] NO_PLACEMENT = {};

    private final long epoch;
    private final long version;
    private final long invalidatingVersion;
    private final int[][][] newPlacement;
    private final int[][][] currentPlacement;

    /**
     * Creates the orders of a rollout.
     *
     * @param epoch group epoch in which they are valid
     * @param version version of the new map; the one after it invalidates orders to arm ranks for it
     * @param newPlacement new map: experts by layer, rank and slot
     * @param currentPlacement map that ranks prepare to invalidate such orders
     */
    RolloutOrders(long epoch, long version, int[][][] newPlacement, int[][][] currentPlacement) {
        this.epoch = epoch;
        this.version = version;
        invalidatingVersion = version + 1;
        this.newPlacement = newPlacement;
        this.currentPlacement = currentPlacement;
    }

    RankOrder prepare(RankView view) {
        return order(view, Action.PREPARE, version, RankView.NONE, newPlacement);
    }

    RankOrder hold(RankView view, long step) {
        return order(view, Action.HOLD, RankView.NONE, step, NO_PLACEMENT);
    }

    /** Releases the step that the rank holds. */
    RankOrder release(RankView view) {
        return order(view, Action.RELEASE, RankView.NONE, view.heldStep(), NO_PLACEMENT);
    }

    RankOrder arm(RankView view, long step) {
        return order(view, Action.ARM, version, step, NO_PLACEMENT);
    }

    /** Disarms the rank, whichever version it is armed for. */
    RankOrder disarm(RankView view) {
        return order(view, Action.DISARM, view.armedVersion(), RankView.NONE, NO_PLACEMENT);
    }

    /** Makes the rank refuse delayed orders to arm it for this rollout or an earlier one. */
    RankOrder invalidateArm(RankView view) {
        return order(view, Action.PREPARE, invalidatingVersion, RankView.NONE, currentPlacement);
    }

    /** Returns whether the rank may take a delayed order to arm it for this rollout or an earlier one. */
    boolean mayArm(RankView view) {
        return view.preparedVersion() < invalidatingVersion;
    }

    private RankOrder order(RankView view, Action action, long orderVersion, long orderStep, int[][][] orderPlacement) {
        return new RankOrder(view.rank(), action, orderVersion, orderStep, epoch, orderPlacement);
    }
}
