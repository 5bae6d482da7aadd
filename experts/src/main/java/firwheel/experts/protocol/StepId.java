package firwheel.experts.protocol;

import java.util.Comparator;
import java.util.Objects;

/**
 * Identifies a step of a group. Steps of a later epoch follow all steps of an earlier one, so that a group in which a
 * rank lost its state continues with step identifiers that no rank can have used.
 *
 * @param epoch round whose proposal opened the epoch
 * @param index position within the epoch, from 0
 */
public record StepId(RoundNumber epoch, long index) implements Comparable<StepId> {
    private static final Comparator<StepId> ORDER =
            Comparator.comparing(StepId::epoch).thenComparingLong(StepId::index);

    public StepId {
        Objects.requireNonNull(epoch, "epoch");
    }

    /** Returns the identifier of the step {@code steps} later in the same epoch. */
    public StepId plus(long steps) {
        return new StepId(epoch, index + steps);
    }

    @Override
    public int compareTo(StepId other) {
        return ORDER.compare(this, other);
    }
}
