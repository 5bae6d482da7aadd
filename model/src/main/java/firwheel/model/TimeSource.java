package firwheel.model;

import java.time.Instant;

/** Source of wall-clock and monotonic time. Injected, so that tests can use virtual time. */
public interface TimeSource {
    /** Returns the wall-clock time. It may jump, so it must be used only in records meant for people. */
    Instant now();

    /** Returns the monotonic time in nanoseconds. Values are comparable only within one process. */
    long monotonicNanos();

    /** Returns the monotonic time in milliseconds. */
    default long monotonicMillis() {
        return monotonicNanos() / 1_000_000L;
    }

    /** Returns a time source backed by the system clocks. */
    static TimeSource system() {
        return new TimeSource() {
            @Override
            public Instant now() {
                return Instant.now();
            }

            @Override
            public long monotonicNanos() {
                return System.nanoTime();
            }
        };
    }
}
