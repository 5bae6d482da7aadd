package firwheel.experts.rollout;

/**
 * An order to the engine of one rank.
 *
 * @param rank rank that it is for
 * @param action what the engine is to do
 * @param version map version that it concerns, or {@link RankView#NONE}
 * @param step pass that it concerns, or {@link RankView#NONE}
 * @param epoch formation of the group in which it is valid
 * @param placement experts by set, rank and place, for {@link Action#PREPARE}; empty otherwise
 */
@SuppressWarnings("ArrayRecordComponent") // never changed after the plan was made
public record RankOrder(int rank, Action action, long version, long step, long epoch, int[][][] placement) {
    /** What an engine can be told. */
    public enum Action {
        /** Load the experts that the version places on the rank. */
        PREPARE,
        /** Switch to the version as the pass begins. */
        ARM,
        /** Do not switch to the version after all. */
        DISARM,
        /** Do not begin the pass until released. */
        HOLD,
        /** Begin the pass that was held. */
        RELEASE
    }
}
