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
    private final Supplier<AdmissionLoad> loadSupplier;
    private final BooleanSupplier awaitingOutput;
    private final Map<Link, AdmissionLoad> lastReported = new HashMap<>();
    private long lastOutputNanos;

    /**
     * Creates a reporter.
     *
     * @param loadSupplier present load of the gate
     * @param awaitingOutput whether a stream that has begun waits for its next piece from the target
     */
    LoadReporter(
            String row,
            int rank,
            TimeSource time,
            Supplier<AdmissionLoad> loadSupplier,
            BooleanSupplier awaitingOutput) {
        this.row = row;
        this.rank = rank;
        this.time = time;
        this.loadSupplier = loadSupplier;
        this.awaitingOutput = awaitingOutput;
    }

    /** Notes a piece of an answer that is about to be sent, and reports first where the entry knows an older load. */
    void beforeChunk(Link link) {
        lastOutputNanos = time.monotonicNanos();
        AdmissionLoad currentLoad = loadSupplier.get();
        if (!currentLoad.equals(lastReported.put(link, currentLoad))) {
            link.send(report(0));
        }
    }

    /** Reports to entries that have an attempt open. */
    void sendReports(Set<Link> links) {
        LoadMessage.Report report = report(0);
        AdmissionLoad currentLoad = loadSupplier.get();
        for (Link link : links) {
            if (!link.isClosed()) {
                lastReported.put(link, currentLoad);
                link.send(report);
            }
        }
    }

    /** Forgets a link that is gone. */
    void removeLink(Link link) {
        lastReported.remove(link);
    }

    /** Returns the present load as the answer to a probe, or with probe 0. */
    LoadMessage.Report report(long probeId) {
        AdmissionLoad currentLoad = loadSupplier.get();
        return new LoadMessage.Report(
                probeId,
                row,
                rank,
                currentLoad.outstandingTokens(),
                currentLoad.inFlight(),
                currentLoad.queued(),
                0,
                silentMillis());
    }

    private long silentMillis() {
        return awaitingOutput.getAsBoolean() ? (time.monotonicNanos() - lastOutputNanos) / NANOS_PER_MILLI : 0;
    }
}
