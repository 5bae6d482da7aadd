package firwheel.rebalance;

import firwheel.mesh.AuthenticatedHttp;
import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.TimeSource;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs what a controller does with each reading of its group. While the outcome stays the same, one line per interval
 * is written, with the number of readings since the line before.
 */
final class ReadingLog {
    /** What follows from a reading. */
    enum Outcome {
        /** Some ranks could not be read. */
        INCOMPLETE,
        /** Ranks are not open, or are in different epochs or, until the next reading confirms it, on different maps. */
        RANKS_DISAGREE,
        /** Ranks are on different maps, and are brought to the same one. */
        REPAIR,
        /** Not all ranks stated which experts they hold. */
        PLACEMENT_UNKNOWN,
        /** The versions of the controller's term are used up, and it has not won another term yet. */
        VERSIONS_USED,
        /** A rollout of an earlier controller is aborted first. */
        TAKEOVER,
        /** The next steps are or may be used, and the group does not run steps; a map could be switched to only late. */
        HOLD_STEPS_USED,
        /** The configuration of the group is not known. */
        NO_POLICY,
        /** No map is sufficiently better than the current one. */
        MAP_KEPT,
        /** The rollout of a better map starts. */
        MAP_PLANNED
    }

    /**
     * A reading.
     *
     * @param group name of the group
     * @param term term of the controller
     * @param agents number of agents that were asked
     * @param ranks number of ranks that were read
     * @param groupSize number of ranks of the group, or 0 if none was read
     * @param startedNanos start of the reading
     */
    record Reading(String group, long term, int agents, int ranks, int groupSize, long startedNanos) {}

    private static final Duration MAX_INTERVAL = Duration.ofSeconds(1);
    private static final Logger logger = LoggerFactory.getLogger(ReadingLog.class);

    private final TimeSource time;
    private final AuthenticatedHttp http;
    private final MapMetrics metrics;
    private Outcome lastOutcome = Outcome.INCOMPLETE;
    private long lastLoggedNanos;
    private int readingsSinceLine;

    ReadingLog(TimeSource time, AuthenticatedHttp http, MapMetrics metrics) {
        this.time = time;
        this.http = http;
        this.metrics = metrics;
        lastLoggedNanos = time.monotonicNanos() - MAX_INTERVAL.toNanos();
    }

    void record(Reading reading, Outcome outcome) {
        long now = time.monotonicNanos();
        long readNanos = now - reading.startedNanos();
        metrics.countReading(label(outcome), readNanos / (double) TimeUnit.SECONDS.toNanos(1));
        readingsSinceLine++;
        if (outcome == lastOutcome && now - lastLoggedNanos < MAX_INTERVAL.toNanos()) {
            return;
        }
        Events.log(
                logger,
                EventCode.GROUP_READ,
                "group",
                reading.group(),
                "term",
                reading.term(),
                "outcome",
                label(outcome),
                "agents",
                reading.agents(),
                "ranks",
                reading.ranks(),
                "groupSize",
                reading.groupSize(),
                "readMillis",
                TimeUnit.NANOSECONDS.toMillis(readNanos),
                "readings",
                readingsSinceLine,
                "bytesSent",
                http.bytesSent(),
                "bytesReceived",
                http.bytesReceived());
        lastOutcome = outcome;
        lastLoggedNanos = now;
        readingsSinceLine = 0;
    }

    private static String label(Outcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
