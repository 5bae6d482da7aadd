package firwheel.agent;

import firwheel.admission.AdmissionLoad;
import firwheel.model.TimeSource;
import firwheel.wire.Link;
import firwheel.wire.LoadMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Tells entries the load of this target: with a piece of an answer when the load has changed since they were told, and
 * at intervals while an attempt of theirs is open. Used on the agent's event loop only.
 */
final class LoadReporter {
    /** Interval of the reports to entries that have attempts open; well under the silence that entries take for a stall. */
    static final long INTERVAL_MILLIS = 500;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String row;
    private final int rank;
    private final TimeSource time;
    private final Supplier<AdmissionLoad> load;
    private final BooleanSupplier expectsOutput;
    private final Map<Link, AdmissionLoad> told = new HashMap<>();
    private long lastOutputNanos;

    /**
     * Creates a reporter.
     *
     * @param load present load of the gate
     * @param expectsOutput whether a stream that has begun waits for its next piece from the target
     */
    LoadReporter(String row, int rank, TimeSource time, Supplier<AdmissionLoad> load, BooleanSupplier expectsOutput) {
        this.row = row;
        this.rank = rank;
        this.time = time;
        this.load = load;
        this.expectsOutput = expectsOutput;
    }

    /** Notes a piece of an answer that is about to be sent, and reports first where the entry knows an older load. */
    void onOutput(Link link) {
        lastOutputNanos = time.monotonicNanos();
        AdmissionLoad present = load.get();
        if (!present.equals(told.put(link, present))) {
            link.send(report(0));
        }
    }

    /** Reports to entries that have an attempt open. */
    void reportTo(Set<Link> links) {
        LoadMessage.Report report = report(0);
        AdmissionLoad present = load.get();
        for (Link link : links) {
            if (!link.isClosed()) {
                told.put(link, present);
                link.send(report);
            }
        }
    }

    /** Forgets a link that is gone. */
    void forget(Link link) {
        told.remove(link);
    }

    /** Returns the present load as the answer to a probe, or with probe 0. */
    LoadMessage.Report report(long probeId) {
        AdmissionLoad present = load.get();
        return new LoadMessage.Report(
                probeId,
                row,
                rank,
                present.outstandingTokens(),
                present.inFlight(),
                present.queued(),
                0,
                silentMillis());
    }

    private long silentMillis() {
        return expectsOutput.getAsBoolean() ? (time.monotonicNanos() - lastOutputNanos) / NANOS_PER_MILLI : 0;
    }
}
