package firwheel.proxy.balance;

import java.time.Duration;

/** Load and health of one target as observed by this entry. Confined to the event loop that routes requests. */
public final class TargetLoad {
    private static final double FAILURE_EWMA_WEIGHT = 0.25; // weight of the latest outcome in the failure rate
    private static final double LATENCY_EWMA_WEIGHT = 0.2; // weight of the latest response in the smoothed latency
    private static final double FAILURE_HALF_LIFE_NANOS =
            Duration.ofSeconds(3).toNanos(); // lets a failing target receive trial requests again
    private static final long INITIAL_SUSPENSION_NANOS =
            Duration.ofMillis(500).toNanos(); // covers a short outage of two heartbeats
    private static final long MAX_SUSPENSION_NANOS =
            Duration.ofSeconds(3).toNanos(); // maximum wait of a recovered target for a trial request
    private static final long UNREACHABLE_REPORT_TTL_NANOS =
            Duration.ofSeconds(1).toNanos(); // two report intervals of a group that cannot be read completely

    /** Time for which a target is avoided after the last of several malformed responses. */
    public static final Duration MALFORMED_WINDOW = Duration.ofSeconds(10);

    private static final int MALFORMED_WHEN_AVOIDED = 2; // a single one may not be the target's usual behaviour

    private int inFlight;
    private int malformedResponses;
    private long malformedNanos;
    private int suspects;
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
    private long declinedUntilNanos = Long.MIN_VALUE;

    /** Records that a request was sent to the target. */
    public void onSend() {
        inFlight++;
        sendsSinceReport++;
    }

    /** Records that a sent request has ended, whatever its outcome. */
    public void onEnd() {
        inFlight--;
    }

    /** Records that a request which may crash the target is about to be sent to it. */
    public void addSuspect() {
        suspects++;
    }

    /** Records that such a request has ended or goes to another target. */
    public void removeSuspect() {
        suspects--;
    }

    /** Returns whether a request that may crash the target is at it. */
    public boolean hasSuspect() {
        return suspects > 0;
    }

    /** Records a successful response and the time until it arrived. */
    public void onSuccess(long nowNanos, double elapsedMillis) {
        recordOutcome(nowNanos, 0);
        consecutiveUnreachable = 0;
        suspendedUntilNanos = Long.MIN_VALUE;
        latencyMillis = latencyMillis == 0
                ? elapsedMillis
                : latencyMillis + LATENCY_EWMA_WEIGHT * (elapsedMillis - latencyMillis);
    }

    /** Records that bytes were received from the target. */
    public void onBytesReceived(long nowNanos) {
        lastReceivedNanos = nowNanos;
    }

    /** Returns whether bytes were received from the target within {@code maxAge}. */
    public boolean receivedWithin(long nowNanos, Duration maxAge) {
        return lastReceivedNanos != Long.MIN_VALUE && nowNanos - lastReceivedNanos <= maxAge.toNanos();
    }

    /** Records a failure that leaves the target reachable. */
    public void onFailure(long nowNanos) {
        recordOutcome(nowNanos, 1);
    }

    /** Records a refused connection or a stalled response, which suspends the target until a trial request is due. */
    public void onUnreachable(long nowNanos) {
        recordOutcome(nowNanos, 1);
        long suspension = INITIAL_SUSPENSION_NANOS << Math.min(consecutiveUnreachable, 4);
        suspendedUntilNanos = nowNanos + Math.min(suspension, MAX_SUSPENSION_NANOS);
        consecutiveUnreachable++;
    }

    /**
     * Records bytes that are not one response, or exceed a bound. Returns whether the target is avoided from now on
     * because of them.
     */
    public boolean onMalformedResponse(long nowNanos) {
        boolean avoided = isAvoided(nowNanos);
        malformedResponses = isMalformedRecently(nowNanos) ? malformedResponses + 1 : 1;
        malformedNanos = nowNanos;
        return !avoided && isAvoided(nowNanos);
    }

    /** Returns whether the target is to get requests only if no other has a free slot. */
    public boolean isAvoided(long nowNanos) {
        return malformedResponses >= MALFORMED_WHEN_AVOIDED && isMalformedRecently(nowNanos);
    }

    private boolean isMalformedRecently(long nowNanos) {
        return malformedResponses > 0 && nowNanos - malformedNanos <= MALFORMED_WINDOW.toNanos();
    }

    /**
     * Records a report of the requests that the target is processing and queueing for all entries, and of its slowdown.
     */
    public void onReport(long nowNanos, int requests, double reportedSlowdown) {
        slowdown = reportedSlowdown;
        unreachableUntilNanos = Long.MIN_VALUE;
        reportedRequests = requests;
        reportedNanos = nowNanos;
        sendsSinceReport = 0;
    }

    /**
     * Records a report that other processes cannot reach the target. A request sent to it would be delayed, perhaps
     * until after its client has given up.
     */
    public void onReportedUnreachable(long nowNanos) {
        unreachableUntilNanos = nowNanos + UNREACHABLE_REPORT_TTL_NANOS;
    }

    /**
     * Records that the target wants no requests from this entry for a time. Unlike a suspension this does not end with
     * a successful response, which may be to an earlier request. Returns whether the time ends later than was known.
     */
    public boolean onDeclined(long nowNanos, Duration duration) {
        long untilNanos = nowNanos + duration.toNanos();
        boolean later = untilNanos > declinedUntilNanos;
        declinedUntilNanos = Math.max(declinedUntilNanos, untilNanos);
        return later;
    }

    /** Returns whether the target wants no requests from this entry. */
    public boolean isDeclined(long nowNanos) {
        return nowNanos < declinedUntilNanos;
    }

    /** Returns whether the target is not suspended, not reported unreachable, and wants requests from this entry. */
    public boolean isAvailable(long nowNanos) {
        return nowNanos >= suspendedUntilNanos && nowNanos >= unreachableUntilNanos && !isDeclined(nowNanos);
    }

    /** Returns the share of recent requests that failed, which decays over time. */
    public double failureRate(long nowNanos) {
        double halfLives = (nowNanos - failureNanos) / FAILURE_HALF_LIFE_NANOS;
        return failureRate * Math.pow(0.5, halfLives);
    }

    /** Returns the smoothed latency of successful responses in milliseconds, or 0 before the first one. */
    public double latencyMillis() {
        return latencyMillis;
    }

    /**
     * Returns the estimated number of requests at the target: those in the last report plus those sent since, or only
     * this entry's own requests if the last report is older than {@code maxReportAge}.
     */
    public int estimatedRequests(long nowNanos, Duration maxReportAge) {
        return hasRecentReport(nowNanos, maxReportAge)
                ? Math.max(inFlight, reportedRequests + sendsSinceReport)
                : inFlight;
    }

    /**
     * Returns the number of requests at the target by the last report or, if it is older than {@code maxReportAge}, if
     * each of {@code entryCount} entries has sent as many as this one.
     */
    public int expectedRequests(long nowNanos, Duration maxReportAge, int entryCount) {
        return hasRecentReport(nowNanos, maxReportAge)
                ? estimatedRequests(nowNanos, maxReportAge)
                : inFlight * entryCount;
    }

    /** Returns whether a report that is not older than {@code maxReportAge} leaves none of {@code slots} free. */
    public boolean isFull(long nowNanos, Duration maxReportAge, int slots) {
        return hasRecentReport(nowNanos, maxReportAge) && estimatedRequests(nowNanos, maxReportAge) >= slots;
    }

    /** Returns the slowdown reported by the target, or 1 if the last report is older than {@code maxReportAge}. */
    public double slowdown(long nowNanos, Duration maxReportAge) {
        return hasRecentReport(nowNanos, maxReportAge) ? slowdown : 1;
    }

    /** Returns the number of this entry's own requests at the target. */
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
