package firwheel.rebalance;

import firwheel.experts.rollout.RankView;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides from which agent each agent of a group fetches a placement: a tree, whose root is the agent of the controller.
 * The bytes on the link of one host thus do not grow with the group, and the time grows with its logarithm. Agents whose
 * order failed fetch from those that have the placement.
 */
final class PlacementSources {
    private static final int AGENTS_PER_SOURCE = 4; // nearly the least time until the last of 129 has it

    private final String rootIp;
    private final Set<String> holders = new LinkedHashSet<>();
    private final List<String> sources = new ArrayList<>();
    private long version = RankView.NONE;
    private int assigned;

    /** Creates sources with the agent at {@code rootIp} as root, which has all placements. */
    PlacementSources(String rootIp) {
        this.rootIp = rootIp;
    }

    /** Starts to assign sources to agents that do not have the placement of a version. */
    void startRound(long newVersion) {
        if (newVersion != version) {
            version = newVersion;
            holders.clear();
        }
        sources.clear();
        sources.addAll(holders);
        sources.add(rootIp);
        assigned = 0;
    }

    /** Returns the source of the next agent, which is one for others from then on. */
    String next(String agentIp) {
        String source = sources.get(assigned / AGENTS_PER_SOURCE);
        assigned++;
        sources.add(agentIp);
        return source;
    }

    /** Records that an agent has the placement of a version. */
    void onTaken(long takenVersion, String agentIp) {
        if (takenVersion == version) {
            holders.add(agentIp);
        }
    }
}
