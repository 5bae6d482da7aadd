package firwheel.model;

import java.time.Instant;

/** Source of wall-clock and monotonic time. Passed in, so that tests run on virtual time. */
public interface TimeSource {
    /** Returns the wall-clock time. It may jump; use it only for records that people read. */
    Instant now();

    /** Returns a monotonic reading in nanoseconds, comparable only within one process. */
    long monotonicNanos();

    /** Returns the monotonic reading in milliseconds. */
    default long monotonicMillis() {
        return monotonicNanos() / 1_000_000L;
    }

    /** Returns the time source of the running machine. */
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
