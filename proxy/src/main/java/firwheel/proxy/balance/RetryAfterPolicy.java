package firwheel.proxy.balance;

import java.time.Duration;
import java.util.function.DoubleSupplier;

/**
 * Says when callers that are refused should come back. Callers come back once and wait for a third of their remaining
 * time at most, so a return during the same shortage is their last: where that may last long, they are sent back as late
 * as they will wait. Returns are spread, since those refused together would otherwise meet again.
 */
public final class RetryAfterPolicy {
    /** Why a request is refused. */
    public enum Reason {
        /** Only this process cannot serve; the next attempt reaches another. */
        PROCESS_NOT_READY(0, 0),
        /** The targets are full, which changes as requests end. */
        TARGETS_FULL(0.3, 1),
        /** No target computes, for instance because a rank of the group is lost; that takes seconds to mend. */
        NO_TARGET_AVAILABLE(0.7, 1);

        private final double minShare;
        private final double maxShare;

        Reason(double minShare, double maxShare) {
            this.minShare = minShare;
            this.maxShare = maxShare;
        }
    }

    private static final double MAX_DELAY_SHARE = 1.0 / 3; // of the remaining time; callers do not wait longer
    private static final Duration MIN_DELAY = Duration.ofMillis(50); // a new connection and its first packets

    private final DoubleSupplier random;

    /** Creates advice; {@code random} draws uniformly between 0 and 1. */
    public RetryAfterPolicy(DoubleSupplier random) {
        this.random = random;
    }

    /** Returns how long a caller should wait that has {@code remaining} time left; zero where none is left to use. */
    public Duration retryDelay(Reason reason, Duration remaining) {
        double maxDelayMillis = remaining.toMillis() * MAX_DELAY_SHARE;
        if (maxDelayMillis < MIN_DELAY.toMillis()) {
            return Duration.ZERO;
        }
        double spread = reason.maxShare - reason.minShare;
        double share = reason.minShare + spread * random.getAsDouble();
        return Duration.ofMillis(Math.max(MIN_DELAY.toMillis(), (long) (maxDelayMillis * share)));
    }
}
