package firwheel.rebalance;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the agents whose expert selections are read next: a limited number for each reading, all of them in turn. The
 * bytes that a controller receives for each reading thus do not grow with its group.
 */
final class SelectionSampling {
    private final int agentsPerReading;
    private int nextIndex;

    SelectionSampling(int agentsPerReading) {
        this.agentsPerReading = agentsPerReading;
    }

    /** Returns the agents to read the selections of. */
    Set<String> next(List<String> agentIps) {
        List<String> sorted = agentIps.stream().sorted().toList();
        if (sorted.size() <= agentsPerReading) {
            return Set.copyOf(sorted);
        }
        Set<String> selected = new HashSet<>();
        for (int i = 0; i < agentsPerReading; i++) {
            selected.add(sorted.get((nextIndex + i) % sorted.size()));
        }
        nextIndex = (nextIndex + agentsPerReading) % sorted.size();
        return selected;
    }
}
