package firwheel.experts.rollout;

/**
 * State of one rank as its engine reports it.
 *
 * @param rank rank within the group
 * @param epoch number of the group's formation; a new one voids all that was prepared, armed or held
 * @param open whether the group computes
 * @param step last pass that was begun
 * @param mapVersion version of the map in use
 * @param preparedVersion newest version whose experts are loaded, or {@link #NONE}
 * @param armedVersion version that the rank will switch to, or {@link #NONE}
 * @param armedStep pass at which it will switch
 * @param heldStep pass that the group does not begin until released, or {@link #NONE}
 */
public record RankView(
        int rank,
        long epoch,
        boolean open,
        long step,
        long mapVersion,
        long preparedVersion,
        long armedVersion,
        long armedStep,
        long heldStep) {
    /** Stands for no version and no step. */
    public static final long NONE = -1;

    /** Returns whether the rank will switch to a version at a pass. */
    public boolean isArmed() {
        return armedVersion != NONE;
    }

    /** Returns whether the rank holds back a pass. */
    public boolean isHolding() {
        return heldStep != NONE;
    }
}
