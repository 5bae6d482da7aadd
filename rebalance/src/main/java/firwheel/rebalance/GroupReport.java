package firwheel.rebalance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Result of reading a group.
 *
 * @param group name of the group
 * @param epoch latest epoch of the group that a rank reports
 * @param open whether all ranks that were read report that the group is running steps
 * @param missingRanks number of ranks that could not be read
 * @param loads states of the ranks that were read
 * @param unreachable engines that could be read neither through their agent nor directly
 */
public record GroupReport(
        String group,
        long epoch,
        boolean open,
        int missingRanks,
        List<RankLoad> loads,
        Set<EngineAddress> unreachable) {
    /** Address and state of the engine of a rank. */
    public record RankLoad(EngineAddress engine, EngineState state) {}

    /**
     * Returns the report of {@code readings} of a group of {@code size} ranks, given the engines that were also called
     * directly.
     */
    static GroupReport of(
            String group, int size, Collection<RankCall.Reading> readings, Set<EngineAddress> calledDirectly) {
        List<RankLoad> loads = new ArrayList<>();
        Set<EngineAddress> unreachable = new HashSet<>(calledDirectly);
        boolean open = true;
        long epoch = 0;
        for (RankCall.Reading reading : readings) {
            EngineState state = reading.state();
            if (state != null) {
                loads.add(new RankLoad(reading.engine(), state));
                unreachable.remove(reading.engine());
                open &= state.view().open();
                epoch = Math.max(epoch, state.view().epoch());
            }
        }
        return new GroupReport(group, epoch, open, Math.max(0, size - loads.size()), loads, unreachable);
    }
}
