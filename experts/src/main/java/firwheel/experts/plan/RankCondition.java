package firwheel.experts.plan;

/**
 * State of a rank as seen by the planner.
 *
 * @param state whether the rank may hold experts
 * @param slowdown time for a unit of work relative to a rank of nominal speed; above 0
 * @param slotsPerLayer number of experts per layer that fit into the rank's memory
 */
public record RankCondition(State state, double slowdown, int slotsPerLayer) {
    public RankCondition {
        if (!(slowdown > 0) || slotsPerLayer < 0) {
            throw new IllegalArgumentException(
                    "invalid rank condition: slowdown " + slowdown + ", slots per layer " + slotsPerLayer);
        }
    }

    /** Returns the condition of a serving rank of nominal speed. */
    public static RankCondition serving(int slotsPerLayer) {
        return new RankCondition(State.SERVING, 1.0, slotsPerLayer);
    }

    /** Returns whether the rank may hold experts. */
    public boolean isServing() {
        return state == State.SERVING;
    }

    /** Availability of a rank. */
    public enum State {
        /** Holds and computes experts. */
        SERVING,
        /** Its experts are moved to other ranks; its weights can still be read. */
        LEAVING,
        /** Unreachable; its experts are loaded from other copies or from the weight store. */
        DEAD
    }
}
