package firwheel.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/** What an entry has gathered of one rank. Thread-safe. */
final class RankRecord {
    /** Own changes kept for comparison with reports that were taken before them. */
    private static final int MAX_CHANGES = 1_024;

    private final StallDetector stall = new StallDetector();
    private final Deque<OwnChange> changes = new ArrayDeque<>();
    private LoadReport report = new LoadReport(0, 0, 0, 0, 0, 0);
    private long ownTokens;
    private int ownOpen;
    private RankLoad healthy = RankLoad.UNKNOWN;

    /** Notes that this entry sent a request. */
    synchronized void onDispatch(long tokens, long nowNanos) {
        ownOpen++;
        change(tokens, nowNanos);
    }

    /** Notes that a request of this entry has ended, in whatever way. */
    synchronized void onFinish(long tokens, long nowNanos) {
        ownOpen--;
        change(-tokens, nowNanos);
    }

    /** Notes a part of an answer. */
    synchronized void onProgress(long nowNanos) {
        stall.onProgress(nowNanos);
    }

    /** Takes a report unless a newer one is known. */
    synchronized void onReport(LoadReport newer, long nowNanos) {
        if (newer.takenAtNanos() < report.takenAtNanos()) {
            return;
        }
        report = newer;
        while (!changes.isEmpty() && changes.getFirst().atNanos() < newer.takenAtNanos()) {
            ownTokens -= changes.removeFirst().tokens();
        }
        stall.onReport(newer, nowNanos);
        healthy = load(1.0);
    }

    /** Returns what is known now. */
    synchronized RankLoad load(long nowNanos) {
        double share = stall.share(nowNanos);
        return share >= 1.0 ? healthy : load(share);
    }

    private void change(long tokens, long nowNanos) {
        changes.addLast(new OwnChange(nowNanos, tokens));
        ownTokens += tokens;
        if (changes.size() > MAX_CHANGES) {
            ownTokens -= changes.removeFirst().tokens();
        }
        stall.onOpenRequests(ownOpen, nowNanos);
        healthy = load(1.0);
    }

    private RankLoad load(double share) {
        return new RankLoad(
                report.outstandingTokens(),
                report.inFlight(),
                report.queued(),
                report.takenAtNanos(),
                ownTokens,
                ownOpen,
                share);
    }

    private record OwnChange(long atNanos, long tokens) {}
}
