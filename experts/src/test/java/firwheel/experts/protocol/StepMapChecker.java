package firwheel.experts.protocol;

import firwheel.experts.MapId;
import java.util.HashMap;
import java.util.Map;

/** Records the map under which each step ran on any rank, and fails if a step runs under two maps. */
final class StepMapChecker {
    private final Map<StepId, MapId> maps = new HashMap<>();

    void record(RankState.StepRun run) {
        MapId first = maps.putIfAbsent(run.step(), run.map());
        if (first != null && !first.equals(run.map())) {
            throw new TwoMapsException(run + " also ran under " + first);
        }
    }

    /** A step ran under two maps. */
    static final class TwoMapsException extends IllegalStateException {
        private static final long serialVersionUID = 1;

        TwoMapsException(String message) {
            super(message);
        }
    }
}
