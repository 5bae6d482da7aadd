package firwheel.experts.plan;

/**
 * What the planner knows of a rank.
 *
 * @param state whether the rank may hold experts
 * @param slowdown the rank's time for a unit of work relative to the others, above 0; 1 for a rank of usual speed
 * @param slotsPerLayer experts of one layer that fit into the rank's memory
 */
public record RankCondition(State state, double slowdown, int slotsPerLayer) {
    public RankCondition {
        if (!(slowdown > 0) || slotsPerLayer < 0) {
            throw new IllegalArgumentException("slowdown " + slowdown + ", slots " + slotsPerLayer);
        }
    }

    /** Returns a serving rank of usual speed. */
    public static RankCondition serving(int slotsPerLayer) {
        return new RankCondition(State.SERVING, 1.0, slotsPerLayer);
    }

    /** Returns whether the rank may hold experts. */
    public boolean isServing() {
        return state == State.SERVING;
    }

    /** State of a rank. */
    public enum State {
        /** Holds experts. */
        SERVING,
        /** Gives its experts away; it can still be read from. */
        LEAVING,
        /** Is gone; its experts come from other copies or from the weight store. */
        DEAD
    }
}
