package firwheel.rebalance;

import firwheel.experts.rollout.RankView;

/**
 * What an engine reports of itself.
 *
 * @param startedMillis Unix time of its start
 * @param group name of its group, or empty where it is in none
 * @param groupSize ranks of the group
 * @param view state of the rank
 * @param running requests that it computes
 * @param waiting requests that wait in its queue
 * @param memoryTokens tokens in its memory that cannot be evicted
 * @param slowdown its time for a unit of work relative to its usual one, 1 or more
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
