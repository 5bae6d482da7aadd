package firwheel.proxy.crash;

import java.time.Duration;

/** A crash of one incarnation of a target, as it is held against a request or a part of a prompt. */
class SuspectedCrash {
    // Longer than a report takes from entry to entry, so that repeated reports of a crash do not make it a later one.
    private static final Duration MIN_TIME_BETWEEN_CRASHES = Duration.ofSeconds(2);

    private long observedNanos;
    private boolean cleared;

    SuspectedCrash(long observedNanos) {
        this.observedNanos = observedNanos;
    }

    /** Records another observation, which may be of a later crash, as the earlier one may not have been a crash. */
    void observe(long nanos) {
        if (nanos - observedNanos > MIN_TIME_BETWEEN_CRASHES.toNanos()) {
            observedNanos = nanos;
        }
    }

    Duration age(long nowNanos) {
        return Duration.ofNanos(nowNanos - observedNanos);
    }

    boolean isCleared() {
        return cleared;
    }

    /** Clears the request or part of this crash; returns whether it was not. */
    boolean clear() {
        boolean changed = !cleared;
        cleared = true;
        return changed;
    }
}
