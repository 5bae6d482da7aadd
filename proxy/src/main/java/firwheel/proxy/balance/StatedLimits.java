package firwheel.proxy.balance;

import firwheel.model.TimeSource;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/**
 * Request rates that targets in need state in their responses, each for all entries together and for as long as the
 * target states it. An entry that sends nothing to such a target still has its turns, so it learns from a response to
 * one when the limit has ended. Confined to the event loop that routes requests.
 */
public final class StatedLimits {
    /** Stated by targets without a limit. */
    public static final double NONE = -1;

    private static final Duration RETIRED_RETENTION =
            Duration.ofMinutes(1); // a lapsed registration returns within seconds of the store
    private static final double MIN_REQUESTS_PER_SECOND = 0.1; // finds out when a limit of zero has ended

    private final TimeSource time;
    private final DoubleSupplier random;
    private final Map<Target.Key, LimitShare> shares = new HashMap<>();
    private final Map<Target.Key, Long> retiredSinceNanos = new HashMap<>();
    private int entryCount = 1;

    /** Creates a record without limits; {@code random} draws uniformly between 0 and 1. */
    public StatedLimits(TimeSource time, DoubleSupplier random) {
        this.time = time;
        this.random = random;
    }

    /** Sets the number of entries that share each limit. */
    public void setEntryCount(int entryCount) {
        this.entryCount = Math.max(1, entryCount);
        long now = time.monotonicNanos();
        shares.replaceAll((key, share) -> share.changedTo(share.requestsPerSecond(), this.entryCount, now));
    }

    /**
     * Records the limit that a target states in requests per second; a negative one means that it states none. Returns
     * whether it differs from the known one.
     */
    public boolean onStated(Target.Key target, double requestsPerSecond) {
        LimitShare known = shares.get(target);
        if (requestsPerSecond < 0) {
            shares.remove(target);
            return known != null;
        }
        long now = time.monotonicNanos();
        double limit = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
        shares.put(
                target,
                known == null
                        ? LimitShare.of(limit, entryCount, now, random)
                        : known.changedTo(limit, entryCount, now));
        return known == null || known.requestsPerSecond() != limit;
    }

    /** Returns whether this entry may send a request to the target now. */
    public boolean allows(Target.Key target) {
        LimitShare share = shares.get(target);
        return share == null || share.mayTake(time.monotonicNanos());
    }

    /** Counts a request that is about to be sent; returns false if this entry may send none to the target now. */
    public boolean tryTake(Target.Key target) {
        LimitShare share = shares.get(target);
        return share == null || share.tryTake(time.monotonicNanos());
    }

    /** Returns the number of targets that state a limit. */
    public int count() {
        return shares.size();
    }

    /** Forgets the targets to which {@code retired} has applied for a time. */
    void removeRetired(Predicate<Target.Key> retired) {
        long now = time.monotonicNanos();
        retiredSinceNanos.keySet().removeIf(retired.negate());
        shares.keySet().stream().filter(retired).forEach(target -> retiredSinceNanos.putIfAbsent(target, now));
        shares.keySet().removeIf(target -> isForgotten(target, now));
        retiredSinceNanos.keySet().retainAll(shares.keySet());
    }

    private boolean isForgotten(Target.Key target, long now) {
        Long sinceNanos = retiredSinceNanos.get(target);
        return sinceNanos != null && now - sinceNanos > RETIRED_RETENTION.toNanos();
    }
}
