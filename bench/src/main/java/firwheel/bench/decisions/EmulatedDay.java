package firwheel.bench.decisions;

import java.time.Duration;
import java.util.List;

/**
 * Deployment, callers and faults of an emulated day.
 *
 * @param name name for reports
 * @param zones availability zones, in which ranks, entries and callers are spread evenly
 * @param ranks ranks of the one group
 * @param entries entries
 * @param length time in which callers arrive
 * @param requestsPerSecond rate at which callers arrive
 * @param promptTokens mean length of prompts
 * @param events mean number of events of a response
 * @param objective time within which a caller expects its first event
 * @param pauseObjective longest pause that a caller expects between events
 * @param deadline time after which a caller leaves
 * @param patience time after which a caller leaves if it has received nothing
 * @param retries how often a caller returns
 * @param imbalance work of the most loaded rank over the mean, with an expert map that fits the demand
 * @param firstImbalance the same with the map of a group that has just been formed
 * @param mapTime time until a map that fits is in use after the group has opened or demand has shifted
 * @param faults what happens in the day
 */
public record EmulatedDay(
        String name,
        int zones,
        int ranks,
        int entries,
        Duration length,
        double requestsPerSecond,
        double promptTokens,
        double events,
        Duration objective,
        Duration pauseObjective,
        Duration deadline,
        Duration patience,
        int retries,
        double imbalance,
        double firstImbalance,
        Duration mapTime,
        List<Fault> faults) {
    /** Kind of a fault. */
    public enum Kind {
        /** A zone loses its connections to the others for a time. */
        ZONE_CUT,
        /** All entries and targets end and start again after a time; the targets' new identifiers are known later. */
        ENTRIES_RESTART,
        /** Other experts are in demand. */
        DEMAND_SHIFT,
        /** More callers arrive for a time. */
        BURST
    }

    /**
     * A fault.
     *
     * @param kind kind of the fault
     * @param at time at which it starts
     * @param length time until it ends
     * @param strength zone of a cut, factor of a burst, or seconds until restarted targets are known
     */
    public record Fault(Kind kind, Duration at, Duration length, double strength) {}

    public EmulatedDay {
        faults = List.copyOf(faults);
        if (zones < 1 || ranks < zones || entries < zones) {
            throw new IllegalArgumentException("day " + name + " needs a rank and an entry in each of its zones");
        }
    }
}
