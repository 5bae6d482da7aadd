package firwheel.routing;

import firwheel.model.RankAddress;
import firwheel.model.RankKey;
import firwheel.model.TargetRow;

/**
 * One rank that may receive requests, with its row and group.
 *
 * @param key row name and rank number
 * @param address address of the agent of the rank
 * @param row the rank's row of the table
 * @param group group of all ranks of the row
 */
record RankCandidate(RankKey key, RankAddress address, TargetRow row, RankGroup group) {
    /** Returns the maximum number of running and queued requests that the rank's agent accepts. */
    int maxRequests() {
        return row.maxInFlight() + row.maxQueue();
    }
}
