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
 * Reports the load of this target to entries: before a chunk is sent to an entry, if the load has changed since the last
 * report to it, and periodically while the entry has an open attempt. Used on the agent's event loop only.
 */
final class LoadReporter {
    /**
     * Interval of the reports to entries with open attempts. It is well below the output silence that entries treat as
     * a stalled target.
     */
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
     * @param loadSupplier current load of the admission controller
     * @param awaitingOutput whether a stream that has started is waiting for more output from the target
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

    /** Records the time of the output, and reports the load to the entry if it has changed since the last report to it. */
    void beforeChunk(Link link) {
        lastOutputNanos = time.monotonicNanos();
        AdmissionLoad currentLoad = loadSupplier.get();
        if (!currentLoad.equals(lastReported.put(link, currentLoad))) {
            link.send(report(0));
        }
    }

    /** Sends a report over each of the links that is not closed. */
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

    /** Removes the state of a closed link. */
    void removeLink(Link link) {
        lastReported.remove(link);
    }

    /** Creates a report of the current load; {@code probeId} is 0 unless it responds to a probe. */
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
