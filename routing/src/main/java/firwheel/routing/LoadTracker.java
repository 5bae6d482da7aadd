package firwheel.routing;

import firwheel.model.RankKey;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TimeSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The loads of all ranks as one entry knows them: reports, own requests, probes and stalls. Thread-safe. */
public final class LoadTracker {
    private final TimeSource time;
    private final Map<RankKey, RankLoadState> records = new ConcurrentHashMap<>();
    private final ProbePool probes;

    /** Creates a tracker that knows nothing. */
    public LoadTracker(TimeSource time) {
        this.time = time;
        this.probes = new ProbePool(time);
    }

    /** Notes a request sent to a rank, with its estimated tokens. */
    public void onDispatch(RankKey key, long tokens) {
        record(key).onDispatch(tokens, time.monotonicNanos());
    }

    /** Notes the end, in whatever way, of a request that was noted as sent with as many tokens. */
    public void onFinish(RankKey key, long tokens) {
        record(key).onFinish(tokens, time.monotonicNanos());
    }

    /** Notes a part of an answer. */
    public void onProgress(RankKey key) {
        record(key).onProgress(time.monotonicNanos());
    }

    /** Notes that a rank could not be reached or takes nothing new; it gets no work for a while. */
    public void onUnavailable(RankKey key) {
        record(key).onUnavailable(time.monotonicNanos());
    }

    /** Takes a report. A report older than the newest known one is ignored. */
    public void onReport(RankKey key, RankLoadReport report) {
        record(key).onReport(report, time.monotonicNanos());
    }

    /** Takes the answer to a probe, which was made for requests of this model or service. */
    public void onProbe(TargetKind kind, String servedName, RankKey key, RankLoadReport report) {
        onReport(key, report);
        probes.add(kind, servedName, key);
    }

    /** Forgets the ranks that the table no longer has. */
    public void retain(TableSnapshot table) {
        records.keySet().removeIf(key -> table.row(key.row())
                .filter(row -> key.rank() < row.hosts().size())
                .isEmpty());
    }

    /** Returns a view for decisions at the present moment. */
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
