package firwheel.admission;

import java.time.Duration;

/** Runs tasks later, on the thread of whoever schedules them. */
@FunctionalInterface
public interface TaskScheduler {
    /** Runs {@code task} after {@code delay}. */
    void schedule(Duration delay, Runnable task);
}
