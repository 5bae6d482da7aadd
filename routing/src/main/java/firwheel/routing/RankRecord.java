package firwheel.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/** What an entry has gathered of one rank. Thread-safe. */
final class RankRecord {
    /** Own changes kept for comparison with reports that were taken before them. */
    private static final int MAX_CHANGES = 1_024;

    private final StallDetector stall = new StallDetector();
    private final Deque<OwnChange> changes = new ArrayDeque<>();
    private RankLoadReport report = new RankLoadReport(0, 0, 0, 0, 0, 0);
    private long ownTokens;
    private int ownRequests;
    private int ownOpen;
    private RankLoad healthy = RankLoad.UNKNOWN;

    /** Notes that this entry sent a request. */
    synchronized void onDispatch(long tokens, long nowNanos) {
        ownOpen++;
        change(new OwnChange(nowNanos, tokens, 1));
    }

    /** Notes that a request of this entry has ended, in whatever way. */
    synchronized void onFinish(long tokens, long nowNanos) {
        ownOpen--;
        change(new OwnChange(nowNanos, -tokens, -1));
    }

    /** Notes a part of an answer. */
    synchronized void onProgress(long nowNanos) {
        stall.onProgress(nowNanos);
    }

    /** Notes that the rank could not be reached or takes nothing new. */
    synchronized void onUnavailable(long nowNanos) {
        stall.onUnavailable(nowNanos);
    }

    /** Takes a report unless a newer one is known. */
    synchronized void onReport(RankLoadReport newer, long nowNanos) {
        if (newer.sampledAtNanos() < report.sampledAtNanos()) {
            return;
        }
        report = newer;
        while (!changes.isEmpty() && changes.getFirst().atNanos() < newer.sampledAtNanos()) {
            forgetOldest();
        }
        stall.onReport(newer, nowNanos);
        healthy = load(1.0);
    }

    /** Returns what is known now. */
    synchronized RankLoad load(long nowNanos) {
        double share = stall.share(nowNanos);
        return share >= 1.0 ? healthy : load(share);
    }

    private void forgetOldest() {
        OwnChange oldest = changes.removeFirst();
        ownTokens -= oldest.tokens();
        ownRequests -= oldest.requests();
    }

    private void change(OwnChange change) {
        changes.addLast(change);
        ownTokens += change.tokens();
        ownRequests += change.requests();
        if (changes.size() > MAX_CHANGES) {
            forgetOldest();
        }
        stall.onOpenRequests(ownOpen, change.atNanos());
        healthy = load(1.0);
    }

    private RankLoad load(double share) {
        return new RankLoad(
                report.outstandingTokens(),
                report.inFlight(),
                report.queued(),
                report.sampledAtNanos(),
                ownTokens,
                ownRequests,
                ownOpen,
                share);
    }

    private record OwnChange(long atNanos, long tokens, int requests) {}
}
