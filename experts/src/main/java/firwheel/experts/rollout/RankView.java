package firwheel.experts.rollout;

/**
 * State of a rank as reported by its engine.
 *
 * @param rank rank within the group
 * @param epoch group epoch, which rises each time the group is formed; prepared and armed versions and holds do not
 *     outlive it
 * @param open whether the group is running steps
 * @param step last started step
 * @param mapVersion map version in use
 * @param preparedVersion newest map version whose experts are loaded, or {@link #NONE}
 * @param armedVersion map version that the rank will switch to, or {@link #NONE}
 * @param armedStep step at which the rank will switch
 * @param heldStep step that the rank holds until it is released, or {@link #NONE}
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
    /** Value for no version or no step. */
    public static final long NONE = -1;

    /** Returns whether the rank is armed to switch to a version. */
    public boolean isArmed() {
        return armedVersion != NONE;
    }

    /** Returns whether the rank holds the group before a step. */
    public boolean isHolding() {
        return heldStep != NONE;
    }
}
