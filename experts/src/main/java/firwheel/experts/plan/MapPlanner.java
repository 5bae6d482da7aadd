package firwheel.experts.plan;

/** Plans the next expert map of a group. Implementations do no I/O. */
@FunctionalInterface
public interface MapPlanner {
    /** Returns the plan, which has no moves if no change is worthwhile. */
    MapPlan plan(PlanningInput input);

    /** Returns a planner that never changes the map, as a baseline. */
    static MapPlanner noOp() {
        return input -> new MapPlan(input.map(), java.util.List.of(), java.util.List.of());
    }
}
