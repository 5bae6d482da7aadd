package firwheel.proxy.balance;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * This entry's share of the request rate that a target takes from all entries together. Each entry may send one request
 * a period, which is as long as all entries together need to send one each at that rate. Periods begin at a random
 * time, and an unused turn expires, so that entries do not send at the same time after a quiet interval.
 */
final class LimitShare {
    private static final long TURN_NANOS =
            Duration.ofSeconds(1).toNanos(); // some requests arrive at an entry meanwhile

    private final double requestsPerSecond;
    private final int entryCount;
    private final long periodNanos;
    private long turnNanos;

    private LimitShare(double requestsPerSecond, int entryCount, long periodNanos, long turnNanos) {
        this.requestsPerSecond = requestsPerSecond;
        this.entryCount = entryCount;
        this.periodNanos = periodNanos;
        this.turnNanos = turnNanos;
    }

    /**
     * Creates a share of a limit that has just become known; {@code random} draws uniformly between 0 and 1.
     *
     * @param requestsPerSecond positive rate that the target takes from all entries together
     * @param entryCount number of entries, including this one
     */
    static LimitShare of(double requestsPerSecond, int entryCount, long nowNanos, DoubleSupplier random) {
        long period = periodNanos(requestsPerSecond, entryCount);
        return new LimitShare(requestsPerSecond, entryCount, period, nowNanos + (long) (period * random.getAsDouble()));
    }

    /** Returns the share of a changed limit or number of entries, whose turn is as many parts of a period away. */
    LimitShare changedTo(double newRequestsPerSecond, int newEntryCount, long nowNanos) {
        if (newRequestsPerSecond == requestsPerSecond && newEntryCount == entryCount) {
            return this;
        }
        long newPeriod = periodNanos(newRequestsPerSecond, newEntryCount);
        double periodsToTurn = (turnNanos - nowNanos) / (double) periodNanos;
        return new LimitShare(
                newRequestsPerSecond, newEntryCount, newPeriod, nowNanos + (long) (periodsToTurn * newPeriod));
    }

    double requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Returns whether this entry may send a request now. */
    boolean mayTake(long nowNanos) {
        skipExpiredTurns(nowNanos);
        return nowNanos >= turnNanos;
    }

    /** Takes the turn of this period; returns false if this entry may send no request now. */
    boolean tryTake(long nowNanos) {
        if (!mayTake(nowNanos)) {
            return false;
        }
        turnNanos += periodNanos;
        return true;
    }

    private void skipExpiredTurns(long nowNanos) {
        long expiredNanos = nowNanos - TURN_NANOS - turnNanos;
        if (expiredNanos > 0) {
            turnNanos += periodNanos * ((expiredNanos + periodNanos - 1) / periodNanos);
        }
    }

    private static long periodNanos(double requestsPerSecond, int entryCount) {
        return Math.max(1, (long) (entryCount / requestsPerSecond * TimeUnit.SECONDS.toNanos(1)));
    }
}
