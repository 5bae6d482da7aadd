package firwheel.experts.rollout;

import java.util.List;

/**
 * Hands out the steps at which the rollouts of a group hold it, each of them once. The step of an idle group stands
 * still, so a later rollout would otherwise hold at the step of an aborted one, and a delayed order to release that one
 * would release it.
 *
 * <p>Each process beside the group has an instance, and they exchange what they know ({@link Known}), so that a new
 * controller does not use the steps of earlier ones either. A process that has just started knows of no steps, although
 * orders of earlier controllers may still be executed. If no other process remembers them, it skips all that can have been
 * used: rollouts hold a limited number of steps ahead, and the step of a group never falls within an epoch.
 */
public final class HoldSteps {
    // More than the lead of a hold. A new controller may have to skip as many, and its first map waits for them.
    private static final long MAX_STEPS_AHEAD = 9;

    /**
     * What is known of the steps used.
     *
     * @param epoch group epoch of the steps; orders are not executed in another one
     * @param highestStep highest step used, or {@link RankView#NONE}
     * @param complete whether no higher step has been used; false from older versions
     */
    public record Known(long epoch, long highestStep, boolean complete) {}

    private Known known = new Known(RankView.NONE, RankView.NONE, false);

    public Known known() {
        return known;
    }

    /** Returns whether all steps that have been used are at or below the highest known one. */
    public boolean isComplete() {
        return known.complete();
    }

    /** Skips the steps that other processes may have used, unless they are known. */
    public void skipUnknown(List<RankView> views) {
        if (!known.complete()) {
            views.forEach(view -> add(view.epoch(), view.step() + MAX_STEPS_AHEAD));
            markComplete();
        }
    }

    /** Records that no steps have been used but those that are known. */
    public void markComplete() {
        known = new Known(known.epoch(), known.highestStep(), true);
    }

    /** Records what another process knows. */
    public void merge(Known other) {
        boolean sameEpoch = other.epoch() == known.epoch();
        boolean newer = other.epoch() > known.epoch() || (sameEpoch && other.highestStep() > known.highestStep());
        Known highest = newer ? other : known;
        known = new Known(highest.epoch(), highest.highestStep(), known.complete() || other.complete());
    }

    /** Records a step that was used. */
    public void add(long epoch, long step) {
        merge(new Known(epoch, step, false));
    }

    /** Records the steps that engines report. */
    public void observe(List<RankView> views) {
        views.forEach(view -> add(view.epoch(), Math.max(view.heldStep(), view.armedStep())));
    }

    /** Returns an unused step that is not below {@code lowestStep}, and records it as used. */
    long next(long lowestStep) {
        long step = Math.max(lowestStep, known.highestStep() + 1);
        known = new Known(known.epoch(), step, known.complete());
        return step;
    }

    /** Returns whether the next unused step is near enough to the last started one. */
    public boolean isNextNear(List<RankView> views) {
        observe(views);
        return views.stream().anyMatch(view -> known.highestStep() - view.step() < MAX_STEPS_AHEAD);
    }
}
