package firwheel.admission;

import java.time.Duration;

/** Runs tasks after a delay, on the thread that scheduled them. */
@FunctionalInterface
public interface TaskScheduler {
    /** Runs {@code task} after {@code delay}. */
    void schedule(Duration delay, Runnable task);
}
