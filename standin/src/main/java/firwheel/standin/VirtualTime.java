package firwheel.standin;

import firwheel.model.TimeSource;
import firwheel.store.Delay;
import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;

/** Clock and scheduler that advance only when a test calls {@link #runFor}. Not thread-safe. */
public final class VirtualTime implements TimeSource, Delay {
    private static final Instant ORIGIN = Instant.parse("2026-01-01T00:00:00Z");

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nowNanos;
    private long scheduled;

    @Override
    public Instant now() {
        return ORIGIN.plusNanos(nowNanos);
    }

    @Override
    public long monotonicNanos() {
        return nowNanos;
    }

    @Override
    public CompletableFuture<Void> after(Duration duration) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        schedule(duration, () -> done.complete(null));
        return done;
    }

    /** Schedules {@code work} to run after {@code duration}; tasks due at the same time run in order of scheduling. */
    public void schedule(Duration duration, Runnable work) {
        tasks.add(new Task(nowNanos + duration.toNanos(), scheduled++, work));
    }

    /** Advances the time by {@code duration} and runs the tasks that become due, in order of time. */
    public void runFor(Duration duration) {
        long endNanos = nowNanos + duration.toNanos();
        for (Task next = tasks.peek(); next != null && next.atNanos() <= endNanos; next = tasks.peek()) {
            tasks.remove(next);
            nowNanos = next.atNanos();
            next.work().run();
        }
        nowNanos = endNanos;
    }

    private record Task(long atNanos, long sequence, Runnable work) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
