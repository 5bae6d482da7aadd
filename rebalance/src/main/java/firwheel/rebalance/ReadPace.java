package firwheel.rebalance;

import java.time.Duration;

/** Decides how long a controller pauses between two readings of its group. */
final class ReadPace {
    private static final Duration MIN_INTERVAL =
            Duration.ofMillis(125); // an eighth of the time to load and switch to a new map
    private static final Duration MAX_INTERVAL = Duration.ofMillis(250); // several within the election timeout
    private static final Duration TIME_PER_RANK = Duration.ofMillis(4); // bounds the traffic of large groups
    private static final Duration MIN_PAUSE =
            Duration.ofMillis(50); // leaves the host to its engine and to calls that end a reading late

    private boolean rolloutEnded;

    /** Returns the time between the beginnings of two readings of a group of {@code ranks} ranks, 0 if not known. */
    static Duration interval(int ranks) {
        Duration interval = TIME_PER_RANK.multipliedBy(ranks);
        if (ranks == 0 || interval.compareTo(MAX_INTERVAL) > 0) {
            return MAX_INTERVAL;
        }
        return interval.compareTo(MIN_INTERVAL) < 0 ? MIN_INTERVAL : interval;
    }

    /** Records that selections were not read for some time because the ranks switched to another map. */
    void onRolloutEnded() {
        rolloutEnded = true;
    }

    /**
     * Returns the pause before the next reading. Agents must hear of the controller within the election timeout, so the
     * duration of the latest iteration is deducted.
     */
    Duration nextPause(int ranks, Duration iteration) {
        boolean overdue = rolloutEnded;
        rolloutEnded = false;
        Duration pause = overdue ? Duration.ZERO : interval(ranks).minus(iteration);
        return pause.compareTo(MIN_PAUSE) < 0 ? MIN_PAUSE : pause;
    }
}
