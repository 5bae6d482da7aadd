package firwheel.routing;

import firwheel.model.RankKey;
import firwheel.model.TargetKind;
import firwheel.model.TimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Ranks that this entry probed recently, for each model or service, as in Prequal (Wydrowski et al., NSDI 2024): the
 * pool is small, old probe results expire, and each request refills it with a few probes. Thread-safe.
 */
final class ProbePool {
    private static final int MAX_ENTRIES = 16;
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(1).toNanos();

    private final TimeSource time;
    private final Map<ServedName, Pool> pools = new ConcurrentHashMap<>();

    ProbePool(TimeSource time) {
        this.time = time;
    }

    /** Adds a rank that has just responded to a probe. */
    void add(TargetKind kind, String servedName, RankKey key) {
        pools.computeIfAbsent(new ServedName(kind, servedName), name -> new Pool())
                .add(new ProbedRank(key, time.monotonicNanos()));
    }

    /** Returns the ranks whose probe results have not expired. */
    List<RankKey> freshRanks(TargetKind kind, String servedName) {
        Pool pool = pools.get(new ServedName(kind, servedName));
        return pool == null ? List.of() : pool.freshKeys(time.monotonicNanos());
    }

    private record ServedName(TargetKind kind, String name) {}

    private record ProbedRank(RankKey key, long probedAtNanos) {}

    private static final class Pool {
        private final Deque<ProbedRank> entries = new ArrayDeque<>();
        private List<RankKey> keys = List.of();

        synchronized void add(ProbedRank probed) {
            entries.removeIf(entry -> entry.key().equals(probed.key()));
            entries.addLast(probed);
            if (entries.size() > MAX_ENTRIES) {
                entries.removeFirst();
            }
            refreshKeys();
        }

        synchronized List<RankKey> freshKeys(long nowNanos) {
            boolean expired = entries.removeIf(entry -> nowNanos - entry.probedAtNanos() > MAX_AGE_NANOS);
            if (expired) {
                refreshKeys();
            }
            return keys;
        }

        private void refreshKeys() {
            keys = entries.stream().map(ProbedRank::key).toList();
        }
    }
}
