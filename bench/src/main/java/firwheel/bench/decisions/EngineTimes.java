package firwheel.bench.decisions;

import java.time.Duration;

/**
 * Speed and size of an engine, as its platform publishes it.
 *
 * @param slots requests that a rank runs at once
 * @param queue requests that a rank queues
 * @param stepsPerPass token steps of a pass in which a request writes
 * @param stepMillis duration of a token step
 * @param millisPerSequence additional duration of a step for each request that writes
 * @param promptTokensPerMilli prompt tokens read in a millisecond
 * @param promptTokensPerStep prompt tokens read in a step at most
 * @param expertShare share of the work that is spread over experts
 * @param stall time for which all ranks wait for one that is lost
 * @param formTime time from the return of a lost rank until the group is open
 */
public record EngineTimes(
        int slots,
        int queue,
        int stepsPerPass,
        double stepMillis,
        double millisPerSequence,
        double promptTokensPerMilli,
        int promptTokensPerStep,
        double expertShare,
        Duration stall,
        Duration formTime) {
    public EngineTimes {
        if (slots < 1 || queue < 0 || stepsPerPass < 1 || !(stepMillis > 0) || !(promptTokensPerMilli > 0)) {
            throw new IllegalArgumentException(
                    "slots, stepsPerPass, stepMillis and promptTokensPerMilli must be positive");
        }
    }
}
