package firwheel.agent;

import firwheel.model.AttemptId;
import firwheel.model.TimeSource;
import firwheel.wire.AttemptMessage;
import firwheel.wire.Link;
import firwheel.wire.LoadMessage;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;

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
    private final BooleanSupplier expectsOutput;
    private final Map<AttemptId, OpenAttempt> open = new HashMap<>();
    private final Map<Link, Long> toldVersions = new HashMap<>();
    private long version;
    private long outstandingTokens;
    private long lastOutputNanos;

    /**
     * Creates a reporter with no load.
     *
     * @param expectsOutput whether a stream that has begun waits for its next piece from the target
     */
    LoadReporter(String row, int rank, TimeSource time, BooleanSupplier expectsOutput) {
        this.row = row;
        this.rank = rank;
        this.time = time;
        this.expectsOutput = expectsOutput;
    }

    /** Notes an admitted attempt. */
    void onAdmitted(Link link, AttemptMessage.Dispatch dispatch) {
        open.put(dispatch.attempt(), new OpenAttempt(link, dispatch.estimatedTokens()));
        outstandingTokens += dispatch.estimatedTokens();
        version++;
    }

    /** Notes that an attempt has ended. */
    void onOver(AttemptId attempt) {
        OpenAttempt ended = open.remove(attempt);
        if (ended == null) {
            return;
        }
        outstandingTokens -= ended.tokens();
        version++;
        if (open.values().stream().noneMatch(other -> other.link() == ended.link())) {
            toldVersions.remove(ended.link());
        }
    }

    /** Sends a message of an attempt, after a report if the entry does not know the present load. */
    void send(Link link, AttemptMessage message) {
        if (message instanceof AttemptMessage.Chunk) {
            lastOutputNanos = time.monotonicNanos();
            if (!Objects.equals(toldVersions.put(link, version), version)) {
                link.send(report(0));
            }
        }
        link.send(message);
    }

    /** Reports to every entry that has an attempt open. */
    void reportToAll() {
        LoadMessage.Report report = report(0);
        for (Link link : openLinks()) {
            toldVersions.put(link, version);
            link.send(report);
        }
    }

    /** Returns the present load as the answer to a probe, or with probe 0. */
    LoadMessage.Report report(long probeId) {
        return new LoadMessage.Report(probeId, row, rank, outstandingTokens, open.size(), 0, 0, silentMillis());
    }

    private Iterable<Link> openLinks() {
        HashSet<Link> links = new HashSet<>();
        open.values().forEach(attempt -> links.add(attempt.link()));
        return links;
    }

    private long silentMillis() {
        return expectsOutput.getAsBoolean() ? (time.monotonicNanos() - lastOutputNanos) / NANOS_PER_MILLI : 0;
    }

    private record OpenAttempt(Link link, long tokens) {}
}
