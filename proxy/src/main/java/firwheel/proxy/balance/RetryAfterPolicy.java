package firwheel.proxy.balance;

import java.time.Duration;
import java.util.function.DoubleSupplier;
import java.util.function.Function;

/**
 * Calculates how long rejected clients should wait before they retry. A client retries once and waits for at most a
 * third of its remaining time, so a retry during the same shortage is its last. Where the shortage may last long,
 * clients are therefore told to wait almost as long as they can. Delays are randomised because clients that are
 * rejected together would otherwise retry together.
 */
public final class RetryAfterPolicy {
    /** Reason for rejecting a request. */
    public enum Reason {
        /** Only this process cannot serve the request; the retry reaches another one. */
        PROCESS_NOT_READY(0, 0),
        /** All targets are at capacity, which changes as requests complete. */
        TARGETS_FULL(0.3, 1),
        /** No target is serving, for example because a group has lost a rank; recovery takes seconds. */
        NO_TARGET_AVAILABLE(0.7, 1),
        /** The request crashes its targets; all entries refuse it for longer than a client waits. */
        CRASHES_TARGETS(1, 1);

        private final double minShare;
        private final double maxShare;

        Reason(double minShare, double maxShare) {
            this.minShare = minShare;
            this.maxShare = maxShare;
        }

        /** Returns the spread that is used unless another one is chosen. */
        public Spread spread() {
            return new Spread(minShare, maxShare);
        }
    }

    /** Range from which the share of the longest wait is drawn. */
    public record Spread(double minShare, double maxShare) {}

    private static final double MAX_DELAY_SHARE = 1.0 / 3; // of the remaining time; clients do not wait longer
    private static final Duration MIN_DELAY = Duration.ofMillis(50); // time for a new connection and its first packets

    private final DoubleSupplier random;
    private final Function<Reason, Spread> spreads;

    /** Creates a policy; {@code random} draws uniformly between 0 and 1. */
    public RetryAfterPolicy(DoubleSupplier random) {
        this(random, Reason::spread);
    }

    /** Creates a policy with other spreads than those of the reasons. */
    public RetryAfterPolicy(DoubleSupplier random, Function<Reason, Spread> spreads) {
        this.random = random;
        this.spreads = spreads;
    }

    /**
     * Returns how long a client with {@code remaining} time left should wait, or zero if too little time is left to
     * retry.
     */
    public Duration retryDelay(Reason reason, Duration remaining) {
        double maxDelayMillis = remaining.toMillis() * MAX_DELAY_SHARE;
        if (maxDelayMillis < MIN_DELAY.toMillis()) {
            return Duration.ZERO;
        }
        Spread spread = spreads.apply(reason);
        double share = spread.minShare() + (spread.maxShare() - spread.minShare()) * random.getAsDouble();
        return Duration.ofMillis(Math.max(MIN_DELAY.toMillis(), (long) (maxDelayMillis * share)));
    }
}
