package firwheel.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Mutable load state of one rank in an entry: latest report, the entry's own requests and stall detection. Thread-safe.
 */
final class RankLoadState {
    /** Maximum number of this entry's changes kept to adjust reports that were sampled before them. */
    private static final int MAX_CHANGES = 1_024;

    private final StallDetector stallDetector = new StallDetector();
    private final Deque<OwnChange> changes = new ArrayDeque<>();
    private RankLoadReport report = new RankLoadReport(0, 0, 0, 0, 0, 0);
    private long ownTokens;
    private int ownRequests;
    private int ownOpen;
    private RankLoad healthyLoad = RankLoad.UNKNOWN;

    /** Records that this entry sent a request. */
    synchronized void onDispatch(long tokens, long nowNanos) {
        ownOpen++;
        applyChange(new OwnChange(nowNanos, tokens, 1));
    }

    /** Records that a request of this entry has ended, successfully or not. */
    synchronized void onFinish(long tokens, long nowNanos) {
        ownOpen--;
        applyChange(new OwnChange(nowNanos, -tokens, -1));
    }

    /** Records that part of a response was received. */
    synchronized void onProgress(long nowNanos) {
        stallDetector.onProgress(nowNanos);
    }

    /** Records that the rank was unreachable or refuses new requests. */
    synchronized void onUnavailable(long nowNanos) {
        stallDetector.onUnavailable(nowNanos);
    }

    /** Records a report, unless a newer one has been received. */
    synchronized void onReport(RankLoadReport newer, long nowNanos) {
        if (newer.sampledAtNanos() < report.sampledAtNanos()) {
            return;
        }
        report = newer;
        while (!changes.isEmpty() && changes.getFirst().atNanos() < newer.sampledAtNanos()) {
            removeOldestChange();
        }
        stallDetector.onReport(newer, nowNanos);
        healthyLoad = load(1.0);
    }

    /** Returns the current load. */
    synchronized RankLoad load(long nowNanos) {
        double admissionShare = stallDetector.admissionShare(nowNanos);
        return admissionShare >= 1.0 ? healthyLoad : load(admissionShare);
    }

    private void removeOldestChange() {
        OwnChange oldest = changes.removeFirst();
        ownTokens -= oldest.tokens();
        ownRequests -= oldest.requests();
    }

    private void applyChange(OwnChange change) {
        changes.addLast(change);
        ownTokens += change.tokens();
        ownRequests += change.requests();
        if (changes.size() > MAX_CHANGES) {
            removeOldestChange();
        }
        stallDetector.onOpenRequests(ownOpen, change.atNanos());
        healthyLoad = load(1.0);
    }

    private RankLoad load(double admissionShare) {
        return new RankLoad(
                report.outstandingTokens(),
                report.inFlight(),
                report.queued(),
                report.sampledAtNanos(),
                ownTokens,
                ownRequests,
                ownOpen,
                admissionShare);
    }

    private record OwnChange(long atNanos, long tokens, int requests) {}
}
