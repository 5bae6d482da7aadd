package firwheel.routing;

import firwheel.model.RankKey;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TimeSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tracks the load of all ranks as seen by one entry: reports, the entry's own requests, probes and stalls. Thread-safe.
 */
public final class LoadTracker {
    private final TimeSource time;
    private final Map<RankKey, RankLoadState> records = new ConcurrentHashMap<>();
    private final ProbePool probes;

    /** Creates a tracker without any load information. */
    public LoadTracker(TimeSource time) {
        this.time = time;
        this.probes = new ProbePool(time);
    }

    /** Records a request sent to a rank, with its estimated tokens. */
    public void onDispatch(RankKey key, long tokens) {
        record(key).onDispatch(tokens, time.monotonicNanos());
    }

    /** Records the end of a request, successful or not; {@code tokens} must be those passed to {@link #onDispatch}. */
    public void onFinish(RankKey key, long tokens) {
        record(key).onFinish(tokens, time.monotonicNanos());
    }

    /** Records that part of a response was received from a rank. */
    public void onProgress(RankKey key) {
        record(key).onProgress(time.monotonicNanos());
    }

    /** Records that a rank was unreachable or refuses new requests; it gets no new requests for a short time. */
    public void onUnavailable(RankKey key) {
        record(key).onUnavailable(time.monotonicNanos());
    }

    /** Records a report, unless a newer one has been received. */
    public void onReport(RankKey key, RankLoadReport report) {
        record(key).onReport(report, time.monotonicNanos());
    }

    /** Records the response to a probe that was sent for requests to this model or service. */
    public void onProbe(TargetKind kind, String servedName, RankKey key, RankLoadReport report) {
        onReport(key, report);
        probes.add(kind, servedName, key);
    }

    /** Removes the ranks that are not in the table. */
    public void retain(TableSnapshot table) {
        records.keySet().removeIf(key -> table.row(key.row())
                .filter(row -> key.rank() < row.hosts().size())
                .isEmpty());
    }

    /** Returns a view for routing decisions at the current time. */
    public RoutingView view(TableSnapshot table, String ownZone) {
        return new View(table, ownZone, time.monotonicNanos());
    }

    private RankLoadState record(RankKey key) {
        return records.computeIfAbsent(key, unused -> new RankLoadState());
    }

    private final class View implements RoutingView {
        private final TableSnapshot table;
        private final String ownZone;
        private final long nowNanos;

        View(TableSnapshot table, String ownZone, long nowNanos) {
            this.table = table;
            this.ownZone = ownZone;
            this.nowNanos = nowNanos;
        }

        @Override
        public TableSnapshot table() {
            return table;
        }

        @Override
        public RankLoad load(RankKey key) {
            RankLoadState record = records.get(key);
            return record == null ? RankLoad.UNKNOWN : record.load(nowNanos);
        }

        @Override
        public List<RankKey> recentlyProbed(TargetKind kind, String servedName) {
            return probes.freshRanks(kind, servedName);
        }

        @Override
        public String ownZone() {
            return ownZone;
        }

        @Override
        public long nowNanos() {
            return nowNanos;
        }
    }
}
