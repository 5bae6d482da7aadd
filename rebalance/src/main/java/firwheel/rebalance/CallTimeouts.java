package firwheel.rebalance;

import firwheel.experts.rollout.MapRollout;
import firwheel.experts.rollout.RankOrder;
import java.time.Duration;

/**
 * Timeouts of the calls of a controller to the ranks of its group. While a rollout may block the group they are short,
 * but not below the time that the ranks take to answer, which grows with their number.
 */
final class CallTimeouts {
    /** Timeout of a call while the group is not blocked. */
    static final Duration REGULAR = Duration.ofMillis(250); // the round trip between hosts is a few milliseconds

    private static final Duration PREPARE =
            Duration.ofMillis(600); // the map goes to all ranks over one link; leaves time to bypass an agent
    private static final Duration MIN_WHILE_BLOCKED =
            Duration.ofMillis(80); // a lost call is repeated soon, since all ranks may be waiting

    private Duration exchangeTime = Duration.ZERO;

    /** Starts to measure a reading of all ranks. */
    void onReadingStarted() {
        exchangeTime = Duration.ZERO;
    }

    /** Records the time to the answer of one rank; ranks that do not answer are not recorded. */
    void onAnswer(Duration elapsed) {
        exchangeTime = elapsed.compareTo(exchangeTime) > 0 ? elapsed : exchangeTime;
    }

    /** Returns the time in which all ranks that answered the latest reading had done so. */
    Duration exchangeTime() {
        return exchangeTime;
    }

    /** Returns the options of a call that reads a rank during a rollout. */
    RankClient.CallOptions forReading(MapRollout rollout) {
        return new RankClient.CallOptions(timeout(rollout), rollout.mayBlockGroup());
    }

    /**
     * Returns the options of a call that sends an order. Agents refuse orders of earlier terms, so only orders that end
     * a rollout may be sent directly to engines.
     */
    RankClient.CallOptions forOrder(MapRollout rollout, RankOrder.Action action) {
        boolean endsRollout = action != RankOrder.Action.ARM && action != RankOrder.Action.HOLD;
        return new RankClient.CallOptions(
                action == RankOrder.Action.PREPARE ? PREPARE : timeout(rollout),
                endsRollout && rollout.mayBlockGroup());
    }

    private Duration timeout(MapRollout rollout) {
        return rollout.mayBlockGroup() ? whileBlocked() : REGULAR;
    }

    /** Returns twice the exchange time, within the limits. */
    Duration whileBlocked() {
        Duration measured = exchangeTime.multipliedBy(2);
        if (measured.compareTo(MIN_WHILE_BLOCKED) < 0) {
            return MIN_WHILE_BLOCKED;
        }
        return measured.compareTo(REGULAR) > 0 ? REGULAR : measured;
    }
}
