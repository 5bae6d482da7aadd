package firwheel.proxy.balance;

import java.time.Duration;

/** What this entry knows of one target's load and health. Belongs to the event loop that routes. */
public final class TargetLoad {
    private static final double FAILURE_EWMA_WEIGHT = 0.25; // share of the latest outcome in the failure rate
    private static final double LATENCY_EWMA_WEIGHT = 0.2; // share of the latest answer in the smoothed latency
    private static final double FAILURE_HALF_LIFE_NANOS = Duration.ofSeconds(3).toNanos(); // trials resume after it
    private static final long INITIAL_SUSPENSION_NANOS =
            Duration.ofMillis(500).toNanos(); // two beats of a short outage
    private static final long MAX_SUSPENSION_NANOS =
            Duration.ofSeconds(3).toNanos(); // a repaired target waits no longer for a trial
    private static final long UNREACHABLE_REPORT_TTL_NANOS =
            Duration.ofSeconds(1).toNanos(); // two reports of a group that cannot be read whole

    private int inFlight;
    private int reportedRequests;
    private int sendsSinceReport;
    private double slowdown = 1;
    private long reportedNanos = Long.MIN_VALUE;
    private double failureRate;
    private long failureNanos;
    private double latencyMillis;
    private int consecutiveUnreachable;
    private long lastReceivedNanos = Long.MIN_VALUE;
    private long suspendedUntilNanos = Long.MIN_VALUE;
    private long unreachableUntilNanos = Long.MIN_VALUE;

    /** Counts a request sent to the target. */
    public void onSend() {
        inFlight++;
        sendsSinceReport++;
    }

    /** Counts the end of a request that was sent, whatever came of it. */
    public void onEnd() {
        inFlight--;
    }

    /** Takes a good answer and the time that it took. */
    public void onSuccess(long nowNanos, double elapsedMillis) {
        recordOutcome(nowNanos, 0);
        consecutiveUnreachable = 0;
        suspendedUntilNanos = Long.MIN_VALUE;
        latencyMillis = latencyMillis == 0
                ? elapsedMillis
                : latencyMillis + LATENCY_EWMA_WEIGHT * (elapsedMillis - latencyMillis);
    }

    /** Notes that bytes came from the target. */
    public void onBytesReceived(long nowNanos) {
        lastReceivedNanos = nowNanos;
    }

    /** Returns whether bytes came from the target within {@code age}. */
    public boolean receivedWithin(long nowNanos, Duration maxAge) {
        return lastReceivedNanos != Long.MIN_VALUE && nowNanos - lastReceivedNanos <= maxAge.toNanos();
    }

    /** Takes a failure after which the target is still reachable. */
    public void onFailure(long nowNanos) {
        recordOutcome(nowNanos, 1);
    }

    /** Takes a refused connection or silence: the target gets no work until a trial is due. */
    public void onUnreachable(long nowNanos) {
        recordOutcome(nowNanos, 1);
        long suspension = INITIAL_SUSPENSION_NANOS << Math.min(consecutiveUnreachable, 4);
        suspendedUntilNanos = nowNanos + Math.min(suspension, MAX_SUSPENSION_NANOS);
        consecutiveUnreachable++;
    }

    /** Takes a report of the requests that the target computes and queues for all entries, and of how slow it is. */
    public void onReport(long nowNanos, int requests, double reportedSlowdown) {
        slowdown = reportedSlowdown;
        unreachableUntilNanos = Long.MIN_VALUE;
        reportedRequests = requests;
        reportedNanos = nowNanos;
        sendsSinceReport = 0;
    }

    /** Takes a report that others cannot reach the target: what is sent would wait, perhaps beyond its caller. */
    public void onReportedUnreachable(long nowNanos) {
        unreachableUntilNanos = nowNanos + UNREACHABLE_REPORT_TTL_NANOS;
    }

    /** Returns whether a trial is due or the target is not suspected. */
    public boolean isAvailable(long nowNanos) {
        return nowNanos >= suspendedUntilNanos && nowNanos >= unreachableUntilNanos;
    }

    /** Returns the share of recent requests that failed, fading with time. */
    public double failureRate(long nowNanos) {
        double halfLives = (nowNanos - failureNanos) / FAILURE_HALF_LIFE_NANOS;
        return failureRate * Math.pow(0.5, halfLives);
    }

    /** Returns the smoothed time of good answers in milliseconds; 0 where none came yet. */
    public double latencyMillis() {
        return latencyMillis;
    }

    /**
     * Returns the requests believed to be at the target: the last report and what was sent since, or this entry's own
     * requests where no report is younger than {@code maxReportAge}.
     */
    public int estimatedRequests(long nowNanos, Duration maxReportAge) {
        return hasRecentReport(nowNanos, maxReportAge)
                ? Math.max(inFlight, reportedRequests + sendsSinceReport)
                : inFlight;
    }

    /** Returns how slow the target says that it is, or 1 where no report is younger than {@code maxReportAge}. */
    public double slowdown(long nowNanos, Duration maxReportAge) {
        return hasRecentReport(nowNanos, maxReportAge) ? slowdown : 1;
    }

    /** Returns this entry's own requests at the target. */
    public int inFlight() {
        return inFlight;
    }

    private boolean hasRecentReport(long nowNanos, Duration maxReportAge) {
        return reportedNanos != Long.MIN_VALUE && nowNanos - reportedNanos <= maxReportAge.toNanos();
    }

    private void recordOutcome(long nowNanos, double failureSample) {
        failureRate = failureRate(nowNanos) * (1 - FAILURE_EWMA_WEIGHT) + FAILURE_EWMA_WEIGHT * failureSample;
        failureNanos = nowNanos;
    }
}
