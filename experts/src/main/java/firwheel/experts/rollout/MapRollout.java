package firwheel.experts.rollout;

import firwheel.experts.rollout.RankOrder.Action;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Switches all ranks of a group to a new map in the same pass, or none. One pass is held back on one rank, the holder;
 * the others are armed for it, and the holder last. That it is armed is the decision to switch: from then on nothing is
 * called off. To call off, the holder must first begin to prepare a newer version, which its engine refuses once it is
 * armed, so that of the two decisions only one can be carried out, whatever orders are late and whoever gives them.
 *
 * <p>Each call of {@link #nextOrders} takes reports that were read after the replies to the earlier orders, or after waiting
 * for them in vain, and returns the orders to give now. Orders may be lost, repeated and carried out late. An order to
 * arm a rank that may be pending is made void by preparing a newer version there: engines arm only the version that they
 * prepared last, and take each version once.
 */
public final class MapRollout {
    /** Where the rollout stands. */
    public enum Phase {
        PREPARING,
        HOLDING,
        ARMING,
        COMMITTING,
        RELEASING,
        ABORTING,
        /** All ranks switch or have switched. */
        DONE,
        /** No rank switches. */
        ABORTED
    }

    /**
     * Times of a rollout.
     *
     * @param leadSteps passes between the last one begun and the one held back
     * @param prepareLimit longest time to load experts
     * @param holdLimit longest time to get the hold placed
     * @param armLimit longest time to get all ranks armed; the group may wait as long
     */
    public record Limits(long leadSteps, Duration prepareLimit, Duration holdLimit, Duration armLimit) {}

    private static final int[][][] NO_PLACEMENT = {};
    private static final long PREPARE_RETRY_MILLIS = 300; // above the time in which an engine reports what it loaded

    private final Limits limits;
    private final int[][][] newPlacement;
    private final int[][][] currentPlacement;
    private final long epoch;
    private final int holdRank;
    private final long[] prepareSentMillis;
    private final long version;
    private final long invalidatingVersion;
    private long step = RankView.NONE;
    private Phase phase;
    private long phaseStartMillis;

    private MapRollout(
            Limits limits,
            int[][][] newPlacement,
            int[][][] currentPlacement,
            List<RankView> views,
            long version,
            int holdRank,
            Phase phase,
            long nowMillis) {
        this.limits = limits;
        this.newPlacement = newPlacement;
        this.currentPlacement = currentPlacement;
        this.version = version;
        this.holdRank = holdRank;
        this.phase = phase;
        invalidatingVersion = version + 1;
        epoch = views.get(0).epoch();
        prepareSentMillis = new long[views.size()];
        Arrays.fill(prepareSentMillis, RankView.NONE);
        phaseStartMillis = nowMillis;
    }

    /**
     * Starts to put a map into force.
     *
     * @param views reports of all ranks, by rank
     * @param version number of the map, above all that any controller has used; the next number is used to call off
     * @param holder rank on which a pass is held back, the same for all controllers
     * @param placement the map: experts by set, rank and place
     * @param present the map in use
     */
    public static MapRollout start(
            Limits limits,
            List<RankView> views,
            long version,
            int holdRank,
            int[][][] newPlacement,
            int[][][] currentPlacement,
            long nowMillis) {
        return new MapRollout(
                limits, newPlacement, currentPlacement, views, version, holdRank, Phase.PREPARING, nowMillis);
    }

    /**
     * Calls off what another controller may have left open, and makes void what may still be on its way to the ranks.
     *
     * @param version number above all that earlier controllers have used
     */
    public static MapRollout takeOver(
            Limits limits, List<RankView> views, long version, int[][][] currentPlacement, long nowMillis) {
        return new MapRollout(
                limits,
                currentPlacement,
                currentPlacement,
                views,
                version,
                views.size() - 1,
                Phase.ABORTING,
                nowMillis);
    }

    /** Returns where the rollout stands. */
    public Phase phase() {
        return phase;
    }

    /** Returns whether nothing is left to do. */
    public boolean finished() {
        return phase == Phase.DONE || phase == Phase.ABORTED;
    }

    /** Returns whether the group may be waiting for this rollout. */
    public boolean mayBlockGroup() {
        return phase == Phase.HOLDING
                || phase == Phase.ARMING
                || phase == Phase.COMMITTING
                || phase == Phase.RELEASING
                || phase == Phase.ABORTING;
    }

    /** Returns the version that is rolled out. */
    public long version() {
        return version;
    }

    /** Takes reports of all ranks, by rank, and returns the orders to give now; a new formation ends the rollout. */
    public List<RankOrder> nextOrders(List<RankView> views, long nowMillis) {
        if (finished()) {
            return List.of();
        }
        for (RankView view : views) {
            if (view.epoch() != epoch || !view.open()) {
                enter(Phase.ABORTED, nowMillis);
                return List.of();
            }
        }
        return switch (phase) {
            case PREPARING -> prepare(views, nowMillis);
            case HOLDING -> hold(views, nowMillis);
            case ARMING -> arm(views, nowMillis);
            case COMMITTING -> commit(views, nowMillis);
            case RELEASING -> release(views, nowMillis);
            case ABORTING -> abort(views, nowMillis);
            case DONE, ABORTED -> List.of();
        };
    }

    private List<RankOrder> prepare(List<RankView> views, long nowMillis) {
        List<RankOrder> orders = new ArrayList<>();
        boolean allLoaded = true;
        for (RankView view : views) {
            if (view.isHolding()) {
                orders.add(release(view));
            }
            allLoaded &= view.preparedVersion() == version;
            boolean due = prepareSentMillis[view.rank()] == RankView.NONE
                    || nowMillis - prepareSentMillis[view.rank()] > PREPARE_RETRY_MILLIS;
            if (view.preparedVersion() != version && due) {
                prepareSentMillis[view.rank()] = nowMillis;
                orders.add(order(view, Action.PREPARE, version, RankView.NONE, newPlacement));
            }
        }
        if (allLoaded && orders.isEmpty()) {
            enter(Phase.HOLDING, nowMillis);
            return hold(views, nowMillis);
        }
        if (hasElapsed(limits.prepareLimit(), nowMillis)) {
            return startAbort(views, nowMillis);
        }
        return orders;
    }

    private List<RankOrder> hold(List<RankView> views, long nowMillis) {
        RankView holdView = views.get(holdRank);
        if (step != RankView.NONE && holdView.heldStep() == step) {
            enter(Phase.ARMING, nowMillis);
            return arm(views, nowMillis);
        }
        if (hasElapsed(limits.holdLimit(), nowMillis)) {
            return startAbort(views, nowMillis);
        }
        long lastStartedStep = views.stream().mapToLong(RankView::step).max().orElse(0);
        if (step == RankView.NONE || lastStartedStep >= step) {
            step = lastStartedStep + limits.leadSteps();
        }
        return List.of(order(holdView, Action.HOLD, RankView.NONE, step, NO_PLACEMENT));
    }

    private List<RankOrder> arm(List<RankView> views, long nowMillis) {
        if (views.get(holdRank).heldStep() != step || hasElapsed(limits.armLimit(), nowMillis)) {
            return startAbort(views, nowMillis);
        }
        List<RankOrder> orders = new ArrayList<>();
        for (RankView view : views) {
            if (view.rank() != holdRank && !isArmedForThisRollout(view)) {
                orders.add(order(view, Action.ARM, version, step, NO_PLACEMENT));
            }
        }
        if (orders.isEmpty()) {
            enter(Phase.COMMITTING, nowMillis);
            return commit(views, nowMillis);
        }
        return orders;
    }

    private List<RankOrder> commit(List<RankView> views, long nowMillis) {
        RankView holdView = views.get(holdRank);
        if (isArmedForThisRollout(holdView)) {
            enter(Phase.RELEASING, nowMillis);
            return release(views, nowMillis);
        }
        if (holdView.heldStep() != step || hasElapsed(limits.armLimit(), nowMillis)) {
            return startAbort(views, nowMillis);
        }
        return List.of(order(holdView, Action.ARM, version, step, NO_PLACEMENT));
    }

    private boolean isArmedForThisRollout(RankView view) {
        return view.armedVersion() == version && view.armedStep() == step;
    }

    private List<RankOrder> release(List<RankView> views, long nowMillis) {
        RankView holdView = views.get(holdRank);
        if (holdView.step() >= step) {
            enter(Phase.DONE, nowMillis);
            return List.of();
        }
        // Until the pass begins, a copy of the hold that is late could still hold it back.
        return holdView.isHolding() ? List.of(release(holdView)) : List.of();
    }

    /** What was given up to now may still be carried out, so each rank must begin one more order first. */
    private List<RankOrder> startAbort(List<RankView> views, long nowMillis) {
        enter(Phase.ABORTING, nowMillis);
        return abort(views, nowMillis);
    }

    private List<RankOrder> abort(List<RankView> views, long nowMillis) {
        RankView holdView = null;
        for (RankView view : views) {
            holdView = view.isHolding() ? view : holdView;
        }
        if (holdView == null) {
            return abortWithoutHold(views, nowMillis);
        }
        if (holdView.isArmed()) {
            return List.of(release(holdView));
        }
        if (mayBeArmed(holdView)) {
            return List.of(invalidateArm(holdView));
        }
        List<RankOrder> orders = new ArrayList<>();
        for (RankView view : views) {
            if (view.isArmed()) {
                orders.add(disarm(view));
            } else if (mayBeArmed(view)) {
                orders.add(invalidateArm(view));
            }
        }
        return orders.isEmpty() ? List.of(release(holdView)) : orders;
    }

    /** Without a held pass, ranks are armed only after the decision to switch: they must stay armed. */
    private List<RankOrder> abortWithoutHold(List<RankView> views, long nowMillis) {
        List<RankOrder> orders = new ArrayList<>();
        for (RankView view : views) {
            if (view.isArmed()) {
                return List.of();
            }
            if (mayBeArmed(view)) {
                orders.add(invalidateArm(view));
            }
        }
        if (orders.isEmpty()) {
            enter(Phase.ABORTED, nowMillis);
        }
        return orders;
    }

    private RankOrder disarm(RankView view) {
        return order(view, Action.DISARM, view.armedVersion(), RankView.NONE, NO_PLACEMENT);
    }

    private RankOrder release(RankView holdView) {
        return order(holdView, Action.RELEASE, RankView.NONE, holdView.heldStep(), NO_PLACEMENT);
    }

    private RankOrder invalidateArm(RankView view) {
        return order(view, Action.PREPARE, invalidatingVersion, RankView.NONE, currentPlacement);
    }

    private boolean mayBeArmed(RankView view) {
        return view.preparedVersion() < invalidatingVersion;
    }

    private RankOrder order(RankView view, Action action, long orderVersion, long orderStep, int[][][] orderPlacement) {
        return new RankOrder(view.rank(), action, orderVersion, orderStep, epoch, orderPlacement);
    }

    private void enter(Phase next, long nowMillis) {
        phase = next;
        phaseStartMillis = nowMillis;
    }

    private boolean hasElapsed(Duration limit, long nowMillis) {
        return nowMillis - phaseStartMillis > limit.toMillis();
    }

    @Override
    public String toString() {
        return phase + " of version " + version + " at pass " + step;
    }
}
