package firwheel.experts.plan;

/** Plans the next map of a group. Implementations do no I/O. */
@FunctionalInterface
public interface MapPlanner {
    /** Returns the plan; without moves where no change is worth it. */
    MapPlan plan(PlanningInput input);

    /** Returns a planner that never changes the map. */
    static MapPlanner noOp() {
        return input -> new MapPlan(input.map(), java.util.List.of(), java.util.List.of());
    }
}
