package firwheel.experts.plan;

import java.time.Duration;

/**
 * One planning round of a group: plans only while the controller may act and knows the load.
 *
 * @param planner planner of the group
 * @param maxLoadAge age of the newest load report beyond which nothing is planned
 */
public record PlanningRound(MapPlanner planner, Duration maxLoadAge) {
    /** Returns the plan of the round, or why the group's map stays as it is. */
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
     * What the controller knows when the round begins.
     *
     * @param leaseHeld whether the controller lease is held, with its safety margin
     * @param platformReachable whether the platform answered its last call
     * @param loadAge age of the newest load report of the group
     * @param changeInProgress whether a change of the group's map is staged or undecided
     */
    public record Conditions(
            boolean leaseHeld, boolean platformReachable, Duration loadAge, boolean changeInProgress) {}

    /** Outcome of a round; goes into the audit trail. */
    public sealed interface Result {}

    /** The round planned; the plan may be without moves, and its records say why. */
    public record Planned(MapPlan plan) implements Result {}

    /** The map stays as it is, unplanned. */
    public record Skipped(Reason reason) implements Result {}

    /** Why nothing was planned. */
    public enum Reason {
        LEASE_NOT_HELD,
        PLATFORM_DOWN,
        LOAD_TOO_OLD,
        CHANGE_IN_PROGRESS
    }
}
