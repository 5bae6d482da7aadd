package firwheel.experts.protocol;

import java.util.Comparator;

/**
 * Orders the rounds of all coordinators: first by the lease's fencing number, then by the coordinator's own count.
 *
 * @param fencingNumber fencing number of the coordinator's lease
 * @param sequence count of the coordinator's rounds, from 0
 */
public record RoundNumber(long fencingNumber, long sequence) implements Comparable<RoundNumber> {
    /** Lower than every round of a coordinator. */
    public static final RoundNumber NONE = new RoundNumber(0, 0);

    private static final Comparator<RoundNumber> ORDER =
            Comparator.comparingLong(RoundNumber::fencingNumber).thenComparingLong(RoundNumber::sequence);

    /** Returns the next round of the same coordinator. */
    public RoundNumber next() {
        return new RoundNumber(fencingNumber, sequence + 1);
    }

    @Override
    public int compareTo(RoundNumber other) {
        return ORDER.compare(this, other);
    }
}
