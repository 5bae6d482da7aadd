package firwheel.bench;

import firwheel.model.ManualTimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

/** Event loop in virtual time; actions due at the same time run in the order in which they were scheduled. */
public final class VirtualEventLoop {
    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final PriorityQueue<Action> actions = new PriorityQueue<>();
    private long nextOrder;

    /** Returns the virtual time. */
    public ManualTimeSource time() {
        return time;
    }

    /** Returns the virtual time in nanoseconds. */
    public long nowNanos() {
        return time.monotonicNanos();
    }

    /** Schedules {@code body} to run after {@code delayNanos} of virtual time. */
    public void schedule(long delayNanos, Runnable body) {
        actions.add(new Action(nowNanos() + delayNanos, nextOrder, body));
        nextOrder++;
    }

    /** Runs the actions due up to and including {@code endNanos}. */
    public void runUntil(long endNanos) {
        while (!actions.isEmpty() && actions.peek().atNanos() <= endNanos) {
            Action next = actions.remove();
            time.advance(Duration.ofNanos(next.atNanos() - nowNanos()));
            next.body().run();
        }
    }

    private record Action(long atNanos, long order, Runnable body) implements Comparable<Action> {
        @Override
        public int compareTo(Action other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
