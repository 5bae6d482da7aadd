package firwheel.experts.protocol;

import java.util.Comparator;
import java.util.Objects;

/**
 * Names one step of a group. Steps of a later epoch come after all steps of an earlier one, so a group that lost a
 * rank's memory goes on under step numbers that nobody can have run.
 *
 * @param epoch round whose proposal opened the epoch
 * @param index position in the epoch, from 0
 */
public record StepId(RoundNumber epoch, long index) implements Comparable<StepId> {
    private static final Comparator<StepId> ORDER =
            Comparator.comparing(StepId::epoch).thenComparingLong(StepId::index);

    public StepId {
        Objects.requireNonNull(epoch, "epoch");
    }

    /** Returns the step {@code steps} later in the same epoch. */
    public StepId plus(long steps) {
        return new StepId(epoch, index + steps);
    }

    @Override
    public int compareTo(StepId other) {
        return ORDER.compare(this, other);
    }
}
