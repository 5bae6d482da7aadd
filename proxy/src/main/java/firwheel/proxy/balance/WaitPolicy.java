package firwheel.proxy.balance;

import java.time.Duration;

/**
 * Decides how long a request that no target can take waits for a group of its service to open. The load that this
 * answers: a group has lost a rank, nothing is computed until the rank is back, and each caller returns once at most.
 */
@FunctionalInterface
public interface WaitPolicy {
    /**
     * What is known when a request finds no target.
     *
     * @param forming whether all ranks of a group are there and it is about to open
     * @param returned whether the caller has come back after a refusal, so that another refusal would be final
     * @param patience time after its arrival until the caller leaves if it has received nothing
     * @param objective time within which a caller expects the first event; without a queue it takes half of that
     * @param elapsed time since the request arrived
     */
    record Situation(boolean forming, boolean returned, Duration patience, Duration objective, Duration elapsed) {
        /** Returns the time left for a wait after which the first event still reaches the caller. */
        Duration timeLeft() {
            Duration left = patience.minus(objective.dividedBy(2)).minus(elapsed);
            return left.isNegative() ? Duration.ZERO : left;
        }

        private Situation notForming() {
            return new Situation(false, returned, patience, objective, elapsed);
        }
    }

    /** Returns the longest wait, or zero if the request is refused at once. */
    Duration maxWait(Situation situation);

    /** Returns whether a wait has to end if no group is forming any more. */
    default boolean endsUnlessForming(Situation situation) {
        return maxWait(situation.notForming()).isZero();
    }

    /** Requests wait only while a group is forming. */
    static WaitPolicy whileForming() {
        return situation -> situation.forming() ? situation.timeLeft() : Duration.ZERO;
    }

    /** Requests wait while a group is forming, and those of returned callers also while a rank is missing. */
    static WaitPolicy ofReturnedCallers() {
        return situation -> situation.forming() || situation.returned() ? situation.timeLeft() : Duration.ZERO;
    }

    /** All requests wait, also while a rank is missing. */
    static WaitPolicy always() {
        return Situation::timeLeft;
    }
}
