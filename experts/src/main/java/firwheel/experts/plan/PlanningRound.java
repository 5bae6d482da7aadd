package firwheel.experts.plan;

import java.time.Duration;

/**
 * One planning round of a group. Plans only while the controller holds its lease and has recent load reports.
 *
 * @param planner planner of the group
 * @param maxLoadAge maximum age of the newest load report for planning
 */
public record PlanningRound(MapPlanner planner, Duration maxLoadAge) {
    /** Returns the plan, or the reason for which the round is skipped. */
    public Result run(Conditions conditions, PlanningInput input) {
        if (!conditions.leaseHeld()) {
            return new Skipped(Reason.LEASE_NOT_HELD);
        }
        if (!conditions.platformReachable()) {
            return new Skipped(Reason.PLATFORM_DOWN);
        }
        if (conditions.loadAge().compareTo(maxLoadAge) > 0) {
            return new Skipped(Reason.LOAD_TOO_OLD);
        }
        if (conditions.changeInProgress()) {
            return new Skipped(Reason.CHANGE_IN_PROGRESS);
        }
        return new Planned(planner.plan(input));
    }

    /**
     * State of the controller at the start of the round.
     *
     * @param leaseHeld whether the controller lease is held, after deducting its safety margin
     * @param platformReachable whether the last call to the platform succeeded
     * @param loadAge age of the newest load report of the group
     * @param changeInProgress whether a change of the group's map is being staged or is undecided
     */
    public record Conditions(
            boolean leaseHeld, boolean platformReachable, Duration loadAge, boolean changeInProgress) {}

    /** Result of a round, recorded in the audit trail. */
    public sealed interface Result {}

    /** The planner ran. If the plan has no moves, its records give the reasons. */
    public record Planned(MapPlan plan) implements Result {}

    /** The planner did not run; the map is unchanged. */
    public record Skipped(Reason reason) implements Result {}

    /** Reason for which a round is skipped. */
    public enum Reason {
        LEASE_NOT_HELD,
        PLATFORM_DOWN,
        LOAD_TOO_OLD,
        CHANGE_IN_PROGRESS
    }
}
