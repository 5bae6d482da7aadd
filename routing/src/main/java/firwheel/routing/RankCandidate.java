package firwheel.routing;

import firwheel.model.RankAddress;
import firwheel.model.RankKey;
import firwheel.model.TargetRow;

/**
 * One rank that may take requests, with what a decision reads of its row.
 *
 * @param key row and rank
 * @param address agent of the rank
 * @param row the row of the table
 * @param group lock-step group of the rank
 */
record RankCandidate(RankKey key, RankAddress address, TargetRow row, RankGroup group) {
    /** Returns the number of requests, running and waiting, that the rank's agent takes at most. */
    int maxRequests() {
        return row.maxInFlight() + row.maxQueue();
    }
}
