package firwheel.proxy.server;

import firwheel.model.TimeSource;
import firwheel.proxy.balance.HeldRequests;
import firwheel.proxy.balance.HeldRequests.End;
import firwheel.proxy.balance.HeldRequests.Ended;
import firwheel.proxy.balance.HeldRequests.Held;
import firwheel.proxy.balance.TargetSelector;
import io.vertx.core.Vertx;
import java.time.Duration;

/** Lets requests of this entry wait for a group to open, and resumes or ends them. Runs on the event loop. */
final class GroupWait {
    /** A request that waits. */
    interface Waiter {
        /** A group of the service is open, or the wait has ended for another reason. */
        void onWaitEnded(End end);
    }

    private static final long POLL_MILLIS = 20; // a fraction of the time in which a caller expects the first event
    private static final int MAX_REQUESTS = 256; // more than the places of a group that fall to one entry
    private static final long MAX_BYTES = 8L << 20;
    /** Callers leave after 2 s without a first event. */
    private static final Duration FIRST_EVENT_WAIT = Duration.ofMillis(1_800);

    private final Vertx vertx;
    private final TargetSelector selector;
    private final HeldRequests<Waiter> held;
    private final ProxyMetrics metrics;
    private boolean polling;

    GroupWait(Vertx vertx, TimeSource time, TargetSelector selector, ProxyMetrics metrics) {
        this.vertx = vertx;
        this.selector = selector;
        this.metrics = metrics;
        held = new HeldRequests<>(time, MAX_REQUESTS, MAX_BYTES);
    }

    /** Lets a request wait if a group of its service is forming and its client stays; returns whether it waits. */
    boolean tryWait(Waiter waiter, String service, long arrivedNanos, long deadlineNanos, int bytes) {
        if (selector.timeToOpen(service) == null) {
            return false;
        }
        long untilNanos = Math.min(deadlineNanos, arrivedNanos + FIRST_EVENT_WAIT.toNanos());
        boolean added = held.tryAdd(new Held<>(waiter, service, untilNanos, deadlineNanos, bytes));
        if (added && !polling) {
            polling = true;
            startTimer();
        }
        return added;
    }

    /** Ends the wait of a request that has ended otherwise. */
    void cancel(Waiter waiter) {
        held.remove(waiter);
    }

    private void startTimer() {
        vertx.setTimer(POLL_MILLIS, id -> poll());
    }

    private void poll() {
        int waiting = held.size(); // a request that finds its place taken waits again
        for (int i = 0; i < waiting; i++) {
            Ended<Waiter> ended = held.next(selector::hasPlace, service -> selector.timeToOpen(service) != null);
            if (ended == null) {
                break;
            }
            metrics.countWait(ended.end());
            ended.request().onWaitEnded(ended.end());
        }
        polling = held.size() > 0;
        if (polling) {
            startTimer();
        }
    }
}
