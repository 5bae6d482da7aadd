package firwheel.experts.rollout;

/**
 * Order to the engine of one rank.
 *
 * @param rank rank that receives the order
 * @param action requested action
 * @param version map version, or {@link RankView#NONE}
 * @param step step, or {@link RankView#NONE}
 * @param epoch group epoch in which the order is valid
 * @param placement experts by layer, rank and slot, for {@link Action#PREPARE}; empty otherwise
 */
@SuppressWarnings("ArrayRecordComponent") // not modified after planning
public record RankOrder(int rank, Action action, long version, long step, long epoch, int[][][] placement) {
    /** Action requested from an engine. */
    public enum Action {
        /** Load the experts that the map version places on the rank. */
        PREPARE,
        /** Switch to the prepared version at the start of the step. */
        ARM,
        /** Cancel the switch to the version. */
        DISARM,
        /** Do not start the step until it is released. */
        HOLD,
        /** Allow the held step to start. */
        RELEASE
    }
}
