package firwheel.experts.protocol;

import java.util.Comparator;

/**
 * Number of a round, ordered across all coordinators: first by the fencing number of the lease, then by a counter of
 * the coordinator.
 *
 * @param fencingNumber fencing number of the coordinator's lease
 * @param sequence number of the round within the coordinator, from 0
 */
public record RoundNumber(long fencingNumber, long sequence) implements Comparable<RoundNumber> {
    /** A number lower than that of any round. */
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
