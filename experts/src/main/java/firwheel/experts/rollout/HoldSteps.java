package firwheel.experts.rollout;

import java.util.List;

/**
 * Hands out the steps at which the rollouts of a group hold it, each of them once. The step of an idle group stands
 * still, so a later rollout would otherwise hold at the step of an aborted one, and a delayed order to release that one
 * would release it.
 *
 * <p>Each process beside the group has an instance, and they exchange what they know ({@link Known}), so that a new
 * controller does not use the steps of earlier ones either. What processes remember is lost when all of them are started
 * again, while orders of earlier controllers may still be executed. So a new controller also skips all steps that can
 * have been used: rollouts hold a limited number of steps ahead, and the step of a group never falls within an epoch.
 */
public final class HoldSteps {
    // More than the lead of a hold. A new controller skips as many, and its first map waits for them.
    private static final long MAX_STEPS_AHEAD = 9;

    /**
     * What is known of the steps used.
     *
     * @param epoch group epoch of the steps; orders are not executed in another one
     * @param highestStep highest step used, or {@link RankView#NONE}
     */
    public record Known(long epoch, long highestStep) {}

    private Known known = new Known(RankView.NONE, RankView.NONE);

    public Known known() {
        return known;
    }

    /** Records what another process knows, or a step that was used. */
    public void merge(Known other) {
        boolean sameEpoch = other.epoch() == known.epoch();
        if (other.epoch() > known.epoch() || (sameEpoch && other.highestStep() > known.highestStep())) {
            known = other;
        }
    }

    /** Records the steps that engines report. */
    public void observe(List<RankView> views) {
        views.forEach(view -> merge(new Known(view.epoch(), Math.max(view.heldStep(), view.armedStep()))));
    }

    /** Skips all steps that earlier controllers can have used. */
    public void skipPossiblyUsed(List<RankView> views) {
        views.forEach(view -> merge(new Known(view.epoch(), view.step() + MAX_STEPS_AHEAD)));
    }

    /** Returns an unused step that is not below {@code lowestStep}, and records it as used. */
    long next(long lowestStep) {
        long step = Math.max(lowestStep, known.highestStep() + 1);
        known = new Known(known.epoch(), step);
        return step;
    }

    /** Returns whether the next unused step is near enough to the last started one. */
    public boolean isNextNear(List<RankView> views) {
        observe(views);
        return views.stream().anyMatch(view -> known.highestStep() - view.step() < MAX_STEPS_AHEAD);
    }
}
