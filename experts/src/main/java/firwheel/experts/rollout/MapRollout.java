package firwheel.experts.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Switches all ranks of a group to a new expert map at the same step, or none of them.
 *
 * <p>The switch is an atomic commitment. One rank, the hold rank, holds the group before a step; the other ranks are
 * armed to switch at that step, and the hold rank is armed last. Arming the hold rank is the commit point, after which
 * the rollout is not aborted. To abort, the hold rank must first start to prepare a newer version, which its engine
 * refuses once it is armed. Only one of the two decisions can thus take effect, even if orders are delayed or come from
 * several controllers.
 *
 * <p>Each call of {@link #nextOrders} takes rank views that were read after the earlier orders were answered or timed
 * out, and returns the orders to send. While only the hold rank decides what follows, the views of the others may be
 * older ones, so that a switch does not wait for readings of the whole group.
 *
 * <p>Orders may be lost, duplicated or delayed until after later ones. What makes a delayed order harmless:
 *
 * <ul>
 *   <li>PREPARE and DISARM: the version. Each rollout has its own, and engines prepare rising versions only.
 *   <li>ARM: the version. Engines arm only the version that they prepared last, so preparing a newer one invalidates it.
 *   <li>RELEASE: the step. No two rollouts hold at the same one ({@link HoldSteps}).
 *   <li>HOLD: nothing, since an engine that holds no step takes it. The hold is seen in the next views and released; no
 *       rank is armed for its step.
 * </ul>
 */
public final class MapRollout {
    /** Phase of a rollout. */
    public enum Phase {
        PREPARING,
        HOLDING,
        ARMING,
        COMMITTING,
        RELEASING,
        ABORTING,
        /** All ranks have switched or will switch. */
        DONE,
        /** No rank switches to the new map. */
        ABORTED
    }

    private static final long PREPARE_RETRY_MILLIS = 300; // longer than an engine takes to report a loaded version

    // Holds of other rollouts are on another rank, so no delayed order to release one ends the hold of a repair.
    private static final int REPAIR_HOLD_RANK = 0;

    private RolloutLimits limits;
    private final HoldSteps holdSteps;
    private final boolean repairs;
    private final boolean keepsHold;
    private final RolloutOrders rankOrders;
    private final int[][][] newPlacement;
    private final long epoch;
    private final int holdRank;
    private final long[] prepareSentMillis;
    private final long version;
    private final long firstStep;
    private final long startMillis;
    private long step = RankView.NONE;
    private Phase phase;
    private long phaseStartMillis;
    private long holdingStartMillis;
    private long committingStartMillis;
    private long leadMillis;
    private long refusedHolds;
    private boolean holdLost;

    private MapRollout(
            RolloutLimits limits,
            HoldSteps holdSteps,
            boolean repairs,
            boolean keepsHold,
            int[][][] newPlacement,
            int[][][] currentPlacement,
            List<RankView> views,
            long version,
            int holdRank,
            Phase phase,
            long nowMillis) {
        this.limits = limits;
        this.holdSteps = holdSteps;
        this.repairs = repairs;
        this.keepsHold = keepsHold;
        this.newPlacement = newPlacement;
        this.version = version;
        this.holdRank = holdRank;
        this.phase = phase;
        epoch = views.get(0).epoch();
        rankOrders = new RolloutOrders(epoch, version, newPlacement, currentPlacement);
        prepareSentMillis = new long[views.size()];
        Arrays.fill(prepareSentMillis, RankView.NONE);
        phaseStartMillis = nowMillis;
        startMillis = nowMillis;
        holdingStartMillis = nowMillis;
        committingStartMillis = nowMillis;
        firstStep = lastStartedStep(views);
    }

    /**
     * Starts the rollout of a map.
     *
     * @param holdSteps steps of the holds of all rollouts of the group
     * @param views views of all ranks, in rank order
     * @param version version of the map, above all versions used by any controller; {@code version + 1} is used to
     *     abort
     * @param holdRank rank that holds the group; must be the same for all controllers
     * @param newPlacement new map: experts by layer, rank and slot
     * @param currentPlacement map in use
     */
    public static MapRollout start(
            RolloutLimits limits,
            HoldSteps holdSteps,
            List<RankView> views,
            long version,
            int holdRank,
            int[][][] newPlacement,
            int[][][] currentPlacement,
            long nowMillis) {
        return new MapRollout(
                limits,
                holdSteps,
                false,
                false,
                newPlacement,
                currentPlacement,
                views,
                version,
                holdRank,
                Phase.PREPARING,
                nowMillis);
    }

    /**
     * Starts to bring ranks that use different maps to the same one. The group is held as soon as possible, so that it
     * does not run more steps with different maps, and stays held if the rollout is aborted.
     *
     * @param version version above all versions used by any controller; {@code version + 1} is used to abort
     * @param placement map for all ranks: experts by layer, rank and slot
     */
    public static MapRollout repair(
            RolloutLimits limits,
            HoldSteps holdSteps,
            List<RankView> views,
            long version,
            int[][][] placement,
            long nowMillis) {
        return new MapRollout(
                limits,
                holdSteps,
                true,
                true,
                placement,
                placement,
                views,
                version,
                REPAIR_HOLD_RANK,
                Phase.PREPARING,
                nowMillis);
    }

    /**
     * Aborts a rollout that another controller may have left unfinished, and invalidates its orders that are still in
     * transit to the ranks. A group whose ranks use different maps stays held if it was.
     *
     * @param version version above all versions used by earlier controllers
     */
    public static MapRollout takeOver(
            RolloutLimits limits,
            HoldSteps holdSteps,
            List<RankView> views,
            long version,
            int[][][] currentPlacement,
            long nowMillis) {
        boolean mapsDiffer =
                views.stream().mapToLong(RankView::mapVersion).distinct().count() > 1;
        return new MapRollout(
                limits,
                holdSteps,
                false,
                mapsDiffer,
                currentPlacement,
                currentPlacement,
                views,
                version,
                views.size() - 1,
                Phase.ABORTING,
                nowMillis);
    }

    public Phase phase() {
        return phase;
    }

    /** Returns whether the rollout is complete or aborted. */
    public boolean finished() {
        return phase == Phase.DONE || phase == Phase.ABORTED;
    }

    /** Returns whether the group may be blocked by the hold of this rollout. */
    public boolean mayBlockGroup() {
        return (repairs && !finished())
                || phase == Phase.HOLDING
                || phase == Phase.ARMING
                || phase == Phase.COMMITTING
                || phase == Phase.RELEASING
                || phase == Phase.ABORTING;
    }

    /**
     * Returns the only rank whose view must be read before the next orders, or {@link RankView#NONE} if all ranks must
     * be.
     */
    public int decidingRank() {
        boolean holdRankDecides = phase == Phase.HOLDING || phase == Phase.COMMITTING || phase == Phase.RELEASING;
        return holdRankDecides ? holdRank : (int) RankView.NONE;
    }

    /** Replaces the limits, whose lead time follows the measured time of calls. */
    public void setLimits(RolloutLimits newLimits) {
        limits = newLimits;
    }

    /**
     * Returns whether a rank was seen armed while the group was not held and the hold rank was not armed, so that a step
     * could have started with different maps.
     */
    public boolean holdLost() {
        return holdLost;
    }

    /** Returns the version being rolled out. */
    public long version() {
        return version;
    }

    /** Returns the map being rolled out: experts by layer, rank and slot. */
    public int[][][] newPlacement() {
        return newPlacement;
    }

    /** Returns how long the ranks took to load the experts of the new map, in milliseconds. */
    public long loadMillis() {
        return holdingStartMillis - startMillis;
    }

    /** Returns how long a finished rollout took after the experts had been loaded, in milliseconds. */
    public long switchMillis() {
        return phaseStartMillis - holdingStartMillis;
    }

    /** Returns how long before the held step the hold was to be placed, in milliseconds; 0 before it is. */
    public long leadMillis() {
        return leadMillis;
    }

    /**
     * Returns how long it took to place the hold and to arm the other ranks, in milliseconds; 0 before that is done. The
     * group is blocked if it takes about as long as the lead or longer.
     */
    public long armMillis() {
        return Math.max(0, committingStartMillis - holdingStartMillis);
    }

    /**
     * Returns the orders to send, given views of all ranks in rank order. A change of the group epoch ends the rollout.
     */
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
        holdSteps.observe(views);
        boolean holdRankDecided = decidingRank() != RankView.NONE;
        List<RankOrder> orders = nextOrdersOfPhase(views, nowMillis);
        // To abort, the state of all ranks must be known.
        return holdRankDecided && phase == Phase.ABORTING ? List.of() : orders;
    }

    private List<RankOrder> nextOrdersOfPhase(List<RankView> views, long nowMillis) {
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
        List<RankOrder> orders = repairs ? prepareRepair(views) : releaseHolds(views, RankView.NONE);
        boolean allLoaded = true;
        for (RankView view : views) {
            allLoaded &= view.preparedVersion() == version;
            boolean due = prepareSentMillis[view.rank()] == RankView.NONE
                    || nowMillis - prepareSentMillis[view.rank()] > PREPARE_RETRY_MILLIS;
            if (view.preparedVersion() != version && due) {
                prepareSentMillis[view.rank()] = nowMillis;
                orders.add(rankOrders.prepare(view));
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

    /** Holds a group with different maps; releases other holds and disarms ranks only once it is held. */
    private List<RankOrder> prepareRepair(List<RankView> views) {
        List<RankOrder> orders = holdNextStep(views);
        if (views.get(holdRank).isHolding()) {
            orders.addAll(releaseHolds(views, holdRank));
            views.stream().filter(RankView::isArmed).map(rankOrders::disarm).forEach(orders::add);
        }
        return orders;
    }

    private List<RankOrder> releaseHolds(List<RankView> views, long exceptRank) {
        return views.stream()
                .filter(view -> view.isHolding() && view.rank() != exceptRank)
                .map(rankOrders::release)
                .collect(Collectors.toCollection(ArrayList::new));
    }

    /** Holds a group with different maps as soon as possible; it switches to the new map at the held step. */
    private List<RankOrder> holdNextStep(List<RankView> views) {
        RankView holdView = views.get(holdRank);
        if (holdView.isHolding()) {
            step = holdView.heldStep();
            return new ArrayList<>();
        }
        long lastStartedStep = lastStartedStep(views);
        if (step <= lastStartedStep) {
            refusedHolds++;
            step = lastStartedStep + refusedHolds;
        }
        return new ArrayList<>(List.of(rankOrders.hold(holdView, step)));
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
        if (repairs) {
            return holdNextStep(views);
        }
        if (holdView.isHolding() && holdView.heldStep() < step) {
            // By a delayed order of an earlier rollout. A higher step would be that of a newer controller.
            return List.of(rankOrders.release(holdView));
        }
        long lastStartedStep = lastStartedStep(views);
        if (step == RankView.NONE || lastStartedStep >= step) {
            step = holdSteps.next(lastStartedStep + leadSteps(lastStartedStep, nowMillis));
            leadMillis = limits.leadTime().toMillis();
        }
        return List.of(rankOrders.hold(holdView, step));
    }

    private static long lastStartedStep(List<RankView> views) {
        return views.stream().mapToLong(RankView::step).max().orElse(0);
    }

    private long leadSteps(long lastStartedStep, long nowMillis) {
        return limits.leadSteps((lastStartedStep - firstStep) / (double) Math.max(1, nowMillis - startMillis));
    }

    private List<RankOrder> arm(List<RankView> views, long nowMillis) {
        if (views.get(holdRank).heldStep() != step || hasElapsed(limits.armLimit(), nowMillis)) {
            return startAbort(views, nowMillis);
        }
        List<RankOrder> orders = new ArrayList<>();
        for (RankView view : views) {
            if (view.rank() != holdRank && !isArmedForThisRollout(view)) {
                orders.add(rankOrders.arm(view, step));
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
        return List.of(rankOrders.arm(holdView, step));
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
        // Until the step has started, a delayed duplicate of the hold order could still hold the group.
        return holdView.isHolding() ? List.of(rankOrders.release(holdView)) : List.of();
    }

    /**
     * Starts to abort. Orders to arm a rank that were sent earlier may still take effect, so each rank is first made to
     * prepare a newer version, which invalidates them.
     */
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
            return List.of(rankOrders.release(holdView));
        }
        if (rankOrders.mayArm(holdView)) {
            return List.of(rankOrders.invalidateArm(holdView));
        }
        List<RankOrder> orders = new ArrayList<>();
        for (RankView view : views) {
            if (view.isArmed()) {
                orders.add(rankOrders.disarm(view));
            } else if (rankOrders.mayArm(view)) {
                orders.add(rankOrders.invalidateArm(view));
            }
        }
        if (orders.isEmpty() && keepsHold) {
            enter(Phase.ABORTED, nowMillis);
        }
        return orders.isEmpty() && !keepsHold ? List.of(rankOrders.release(holdView)) : orders;
    }

    /** If no rank holds the group, a rank can be armed only after the commit point, so armed ranks must stay armed. */
    private List<RankOrder> abortWithoutHold(List<RankView> views, long nowMillis) {
        List<RankView> armed = views.stream().filter(RankView::isArmed).toList();
        List<RankOrder> orders = views.stream()
                .filter(view -> !view.isArmed() && rankOrders.mayArm(view))
                .map(rankOrders::invalidateArm)
                .toList();
        if (!armed.isEmpty()) {
            return hasCommitted(armed.get(0).armedVersion(), views) ? List.of() : restoreHold(views, armed, orders);
        }
        if (orders.isEmpty()) {
            enter(Phase.ABORTED, nowMillis);
        }
        return orders;
    }

    private static boolean hasCommitted(long version, List<RankView> views) {
        return views.stream().allMatch(view -> view.armedVersion() == version || view.mapVersion() == version);
    }

    /**
     * Holds the group again before the step at which only some of its ranks would switch. These are disarmed once the
     * others can no longer be armed. The step is not a new one, as a later one would not stop them.
     */
    private List<RankOrder> restoreHold(List<RankView> views, List<RankView> armed, List<RankOrder> invalidations) {
        holdLost = true;
        List<RankOrder> orders = new ArrayList<>(invalidations);
        long armedStep = armed.stream().mapToLong(RankView::armedStep).min().orElseThrow();
        if (armedStep > lastStartedStep(views)) {
            orders.add(rankOrders.hold(views.get(holdRank), armedStep));
        }
        if (invalidations.isEmpty()) {
            armed.forEach(view -> orders.add(rankOrders.disarm(view)));
        }
        return orders;
    }

    private void enter(Phase next, long nowMillis) {
        if (phase == Phase.PREPARING) {
            holdingStartMillis = nowMillis;
        }
        if (next == Phase.COMMITTING) {
            committingStartMillis = nowMillis;
        }
        phase = next;
        phaseStartMillis = nowMillis;
    }

    private boolean hasElapsed(Duration limit, long nowMillis) {
        return nowMillis - phaseStartMillis > limit.toMillis();
    }

    @Override
    public String toString() {
        return (repairs ? "repair, " : "") + phase + " of version " + version + " at step " + step;
    }
}
