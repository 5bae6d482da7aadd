package firwheel.proxy.server;

import firwheel.model.FaultBoundary;
import firwheel.model.TimeSource;
import firwheel.proxy.balance.HeldRequests;
import firwheel.proxy.balance.HeldRequests.End;
import firwheel.proxy.balance.HeldRequests.Ended;
import firwheel.proxy.balance.HeldRequests.Held;
import firwheel.proxy.balance.ReturnedCallers;
import firwheel.proxy.balance.TargetSelector;
import firwheel.proxy.balance.WaitPolicy;
import firwheel.proxy.config.Route;
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

    /**
     * A request that finds no target.
     *
     * @param route route of the request
     * @param service service that it asks for
     * @param returned whether its caller has come back after a refusal
     * @param arrivedNanos monotonic time at which it arrived
     * @param deadlineNanos monotonic time at which its client leaves
     * @param bytes bytes that are kept for it
     */
    record Request(Route route, String service, boolean returned, long arrivedNanos, long deadlineNanos, int bytes) {
        /** Returns the time from arrival until the client leaves if it has received nothing. */
        private Duration patience() {
            Duration untilDeadline = Duration.ofNanos(deadlineNanos - arrivedNanos);
            return untilDeadline.compareTo(route.patience()) < 0 ? untilDeadline : route.patience();
        }
    }

    private final Vertx vertx;
    private final TimeSource time;
    private final WaitPolicy policy;
    private final ReturnedCallers returnedCallers;
    private final TargetSelector selector;
    private final HeldRequests<Waiter> held;
    private final ProxyMetrics metrics;
    private final FaultBoundary boundary = FaultBoundary.ofProcess();
    private boolean polling;

    GroupWait(Vertx vertx, TimeSource time, TargetSelector selector, WaitPolicy policy, ProxyMetrics metrics) {
        this.vertx = vertx;
        this.time = time;
        this.policy = policy;
        returnedCallers = new ReturnedCallers(time);
        this.selector = selector;
        this.metrics = metrics;
        held = new HeldRequests<>(time, MAX_REQUESTS, MAX_BYTES);
    }

    /** Records a request and returns whether its caller has probably come back after a refusal. */
    boolean onArrival(Route route, long deadlineMillis) {
        return returnedCallers.onRequest(route.name(), deadlineMillis);
    }

    /** Lets a request that finds no group open wait if the policy says so; returns whether it waits. */
    boolean tryWait(Waiter waiter, Request request) {
        boolean forming = selector.timeToOpen(request.service()) != null;
        if (!forming && !selector.hasClosedGroup(request.service())) {
            return false;
        }
        long now = time.monotonicNanos();
        WaitPolicy.Situation situation = new WaitPolicy.Situation(
                forming,
                request.returned(),
                request.patience(),
                Duration.ofMillis(request.route().latencyObjectiveMillis()),
                Duration.ofNanos(now - request.arrivedNanos()));
        boolean added = held.tryAdd(new Held<>(
                waiter,
                request.service(),
                now + policy.maxWait(situation).toNanos(),
                request.deadlineNanos(),
                request.bytes(),
                policy.endsUnlessForming(situation)));
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
        vertx.setTimer(POLL_MILLIS, id -> boundary.run("poll of waiting requests", this::poll));
    }

    private void poll() {
        try {
            resumeOrEnd();
        } finally {
            polling = held.size() > 0;
            if (polling) {
                startTimer();
            }
        }
    }

    private void resumeOrEnd() {
        int waiting = held.size(); // a request that finds its place taken waits again
        for (int i = 0; i < waiting; i++) {
            Ended<Waiter> ended = held.next(selector::hasPlace, service -> selector.timeToOpen(service) != null);
            if (ended == null) {
                break;
            }
            metrics.countWait(ended.end());
            ended.request().onWaitEnded(ended.end());
        }
    }
}
