package firwheel.admission;

import java.time.Duration;

/** Schedules delayed tasks on the caller's thread. */
@FunctionalInterface
public interface TaskScheduler {
    /** Runs {@code task} after {@code delay}. */
    void schedule(Duration delay, Runnable task);
}
