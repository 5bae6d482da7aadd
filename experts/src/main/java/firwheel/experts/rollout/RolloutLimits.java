package firwheel.experts.rollout;

import java.time.Duration;

/**
 * Limits of a rollout.
 *
 * @param maxLeadSteps maximum number of steps from the last started step to the one that is held
 * @param leadTime minimum time from the order of the hold until the held step; steps of a loaded group last long, so a
 *     fixed number of them would delay the switch
 * @param prepareLimit maximum time to load experts
 * @param holdLimit maximum time to place the hold
 * @param armLimit maximum time to arm all ranks, during which the group may be blocked
 */
public record RolloutLimits(
        long maxLeadSteps, Duration leadTime, Duration prepareLimit, Duration holdLimit, Duration armLimit) {
    // The reading that the hold is placed by; arm, which takes two as agents call their engines; read the armed ranks;
    // another reading if one is due; one for the calls of the hold rank.
    private static final int EXCHANGES_PER_SWITCH = 6;
    private static final long MIN_LEAD_STEPS = 2; // the step after the last started one may begin at any moment

    public RolloutLimits {
        if (maxLeadSteps < MIN_LEAD_STEPS || leadTime.isNegative()) {
            throw new IllegalArgumentException(
                    "maxLeadSteps " + maxLeadSteps + " is below " + MIN_LEAD_STEPS + ", or leadTime is negative");
        }
    }

    /**
     * Returns these limits with a lead time that is long enough to arm all ranks before the held step.
     *
     * @param exchangeTime time to call all ranks once
     */
    public RolloutLimits withExchangeTime(Duration exchangeTime) {
        Duration switchTime = exchangeTime.multipliedBy(EXCHANGES_PER_SWITCH);
        return switchTime.compareTo(leadTime) <= 0
                ? this
                : new RolloutLimits(maxLeadSteps, switchTime, prepareLimit, holdLimit, armLimit);
    }

    /** Returns by how many steps the hold is placed ahead of the last started step, at a rate of steps. */
    long leadSteps(double stepsPerMilli) {
        long steps = (long) Math.ceil(leadTime.toMillis() * stepsPerMilli);
        // The first step of the lead has already started.
        return Math.max(MIN_LEAD_STEPS, Math.min(maxLeadSteps, steps + 1));
    }
}
