package firwheel.rebalance;

import firwheel.experts.rollout.RankView;

/**
 * State of an engine as it reports it.
 *
 * @param startedMillis start of the engine, in milliseconds since the Unix epoch
 * @param group name of the group, or empty if the engine belongs to none
 * @param groupSize number of ranks in the group
 * @param view state of the rank
 * @param running number of requests being computed
 * @param waiting number of queued requests
 * @param memoryTokens number of tokens in the KV cache that cannot be evicted
 * @param slowdown time for a unit of work relative to nominal speed, at least 1
 */
public record EngineState(
        long startedMillis,
        String group,
        int groupSize,
        RankView view,
        int running,
        int waiting,
        long memoryTokens,
        double slowdown) {}
