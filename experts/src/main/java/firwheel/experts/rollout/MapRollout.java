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
 * <p>Each call of {@link #next} takes reports that were read after the replies to the earlier orders, or after waiting
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
        CALLING_OFF,
        /** All ranks switch or have switched. */
        DONE,
        /** No rank switches. */
        CALLED_OFF
    }

    /**
     * Times of a rollout.
     *
     * @param lead passes between the last one begun and the one held back
     * @param prepareLimit longest time to load experts
     * @param holdLimit longest time to get the hold placed
     * @param armLimit longest time to get all ranks armed; the group may wait as long
     */
    public record Limits(long lead, Duration prepareLimit, Duration holdLimit, Duration armLimit) {}

    private static final int[][][] NO_PLACEMENT = {};
    private static final long REPEAT_AFTER_MILLIS = 300; // above the time in which an engine reports what it loaded

    private final Limits limits;
    private final int[][][] placement;
    private final int[][][] present;
    private final long epoch;
    private final int holder;
    private final long[] givenMillis;
    private final long version;
    private final long voidVersion;
    private long step = RankView.NONE;
    private Phase phase;
    private long phaseStartMillis;

    private MapRollout(
            Limits limits,
            int[][][] placement,
            int[][][] present,
            List<RankView> views,
            long version,
            int holder,
            Phase phase,
            long nowMillis) {
        this.limits = limits;
        this.placement = placement;
        this.present = present;
        this.version = version;
        this.holder = holder;
        this.phase = phase;
        voidVersion = version + 1;
        epoch = views.get(0).epoch();
        givenMillis = new long[views.size()];
        Arrays.fill(givenMillis, RankView.NONE);
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
    public static MapRollout begin(
            Limits limits,
            List<RankView> views,
            long version,
            int holder,
            int[][][] placement,
            int[][][] present,
            long nowMillis) {
        return new MapRollout(limits, placement, present, views, version, holder, Phase.PREPARING, nowMillis);
    }

    /**
     * Calls off what another controller may have left open, and makes void what may still be on its way to the ranks.
     *
     * @param version number above all that earlier controllers have used
     */
    public static MapRollout takeOver(
            Limits limits, List<RankView> views, long version, int[][][] present, long nowMillis) {
        return new MapRollout(limits, present, present, views, version, views.size() - 1, Phase.CALLING_OFF, nowMillis);
    }

    /** Returns where the rollout stands. */
    public Phase phase() {
        return phase;
    }

    /** Returns whether nothing is left to do. */
    public boolean finished() {
        return phase == Phase.DONE || phase == Phase.CALLED_OFF;
    }

    /** Returns whether the group may be waiting for this rollout. */
    public boolean mayHold() {
        return phase == Phase.HOLDING
                || phase == Phase.ARMING
                || phase == Phase.COMMITTING
                || phase == Phase.RELEASING
                || phase == Phase.CALLING_OFF;
    }

    /** Returns the version that is rolled out. */
    public long version() {
        return version;
    }

    /** Takes reports of all ranks, by rank, and returns the orders to give now; a new formation ends the rollout. */
    public List<RankOrder> next(List<RankView> views, long nowMillis) {
        if (finished()) {
            return List.of();
        }
        for (RankView view : views) {
            if (view.epoch() != epoch || !view.open()) {
                enter(Phase.CALLED_OFF, nowMillis);
                return List.of();
            }
        }
        return switch (phase) {
            case PREPARING -> prepare(views, nowMillis);
            case HOLDING -> hold(views, nowMillis);
            case ARMING -> arm(views, nowMillis);
            case COMMITTING -> commit(views, nowMillis);
            case RELEASING -> release(views, nowMillis);
            case CALLING_OFF -> callOff(views, nowMillis);
            case DONE, CALLED_OFF -> List.of();
        };
    }

    private List<RankOrder> prepare(List<RankView> views, long nowMillis) {
        List<RankOrder> orders = new ArrayList<>();
        boolean loaded = true;
        for (RankView view : views) {
            if (view.isHolding()) {
                orders.add(release(view));
            }
            loaded &= view.preparedVersion() == version;
            boolean due = givenMillis[view.rank()] == RankView.NONE
                    || nowMillis - givenMillis[view.rank()] > REPEAT_AFTER_MILLIS;
            if (view.preparedVersion() != version && due) {
                givenMillis[view.rank()] = nowMillis;
                orders.add(order(view, Action.PREPARE, version, RankView.NONE, placement));
            }
        }
        if (loaded && orders.isEmpty()) {
            enter(Phase.HOLDING, nowMillis);
            return hold(views, nowMillis);
        }
        if (elapsed(limits.prepareLimit(), nowMillis)) {
            return startCallingOff(views, nowMillis);
        }
        return orders;
    }

    private List<RankOrder> hold(List<RankView> views, long nowMillis) {
        RankView holding = views.get(holder);
        if (step != RankView.NONE && holding.heldStep() == step) {
            enter(Phase.ARMING, nowMillis);
            return arm(views, nowMillis);
        }
        if (elapsed(limits.holdLimit(), nowMillis)) {
            return startCallingOff(views, nowMillis);
        }
        long begun = views.stream().mapToLong(RankView::step).max().orElse(0);
        if (step == RankView.NONE || begun >= step) {
            step = begun + limits.lead();
        }
        return List.of(order(holding, Action.HOLD, RankView.NONE, step, NO_PLACEMENT));
    }

    private List<RankOrder> arm(List<RankView> views, long nowMillis) {
        if (views.get(holder).heldStep() != step || elapsed(limits.armLimit(), nowMillis)) {
            return startCallingOff(views, nowMillis);
        }
        List<RankOrder> orders = new ArrayList<>();
        for (RankView view : views) {
            if (view.rank() != holder && !isArmedForThis(view)) {
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
        RankView holding = views.get(holder);
        if (isArmedForThis(holding)) {
            enter(Phase.RELEASING, nowMillis);
            return release(views, nowMillis);
        }
        if (holding.heldStep() != step || elapsed(limits.armLimit(), nowMillis)) {
            return startCallingOff(views, nowMillis);
        }
        return List.of(order(holding, Action.ARM, version, step, NO_PLACEMENT));
    }

    private boolean isArmedForThis(RankView view) {
        return view.armedVersion() == version && view.armedStep() == step;
    }

    private List<RankOrder> release(List<RankView> views, long nowMillis) {
        RankView holding = views.get(holder);
        if (holding.step() >= step) {
            enter(Phase.DONE, nowMillis);
            return List.of();
        }
        // Until the pass begins, a copy of the hold that is late could still hold it back.
        return holding.isHolding() ? List.of(release(holding)) : List.of();
    }

    /** What was given up to now may still be carried out, so each rank must begin one more order first. */
    private List<RankOrder> startCallingOff(List<RankView> views, long nowMillis) {
        enter(Phase.CALLING_OFF, nowMillis);
        return callOff(views, nowMillis);
    }

    private List<RankOrder> callOff(List<RankView> views, long nowMillis) {
        RankView holding = null;
        for (RankView view : views) {
            holding = view.isHolding() ? view : holding;
        }
        if (holding == null) {
            return callOffUnheld(views, nowMillis);
        }
        if (holding.isArmed()) {
            return List.of(release(holding));
        }
        if (mayBeArmed(holding)) {
            return List.of(voidArming(holding));
        }
        List<RankOrder> orders = new ArrayList<>();
        for (RankView view : views) {
            if (view.isArmed()) {
                orders.add(disarm(view));
            } else if (mayBeArmed(view)) {
                orders.add(voidArming(view));
            }
        }
        return orders.isEmpty() ? List.of(release(holding)) : orders;
    }

    /** Without a held pass, ranks are armed only after the decision to switch: they must stay armed. */
    private List<RankOrder> callOffUnheld(List<RankView> views, long nowMillis) {
        List<RankOrder> orders = new ArrayList<>();
        for (RankView view : views) {
            if (view.isArmed()) {
                return List.of();
            }
            if (mayBeArmed(view)) {
                orders.add(voidArming(view));
            }
        }
        if (orders.isEmpty()) {
            enter(Phase.CALLED_OFF, nowMillis);
        }
        return orders;
    }

    private RankOrder disarm(RankView view) {
        return order(view, Action.DISARM, view.armedVersion(), RankView.NONE, NO_PLACEMENT);
    }

    private RankOrder release(RankView holding) {
        return order(holding, Action.RELEASE, RankView.NONE, holding.heldStep(), NO_PLACEMENT);
    }

    private RankOrder voidArming(RankView view) {
        return order(view, Action.PREPARE, voidVersion, RankView.NONE, present);
    }

    private boolean mayBeArmed(RankView view) {
        return view.preparedVersion() < voidVersion;
    }

    private RankOrder order(RankView view, Action action, long concerns, long atStep, int[][][] placed) {
        return new RankOrder(view.rank(), action, concerns, atStep, epoch, placed);
    }

    private void enter(Phase next, long nowMillis) {
        phase = next;
        phaseStartMillis = nowMillis;
    }

    private boolean elapsed(Duration limit, long nowMillis) {
        return nowMillis - phaseStartMillis > limit.toMillis();
    }

    @Override
    public String toString() {
        return phase + " of version " + version + " at pass " + step;
    }
}
