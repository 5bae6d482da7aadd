package firwheel.experts.protocol;

import firwheel.experts.MapId;
import java.util.HashMap;
import java.util.Map;

/** Remembers the map of every step that any rank ran and fails when a step runs under a second one. */
final class StepLedger {
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
