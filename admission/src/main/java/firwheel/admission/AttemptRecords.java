package firwheel.admission;

import firwheel.model.AttemptId;
import firwheel.model.ResultCode;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/**
 * Bounded record of the attempts an agent has received: queued, running and ended attempts, and tombstones of attempts
 * that must never start. Not thread-safe.
 *
 * <p>An attempt may be admitted only until its {@code admitByMillis}, so its tombstone can be evicted after that time.
 * The record of an attempt that ran is also kept until then, and its eviction raises a watermark: an attempt without a
 * record whose {@code admitByMillis} is at or below the watermark may have run, so its outcome is reported as unknown.
 */
public final class AttemptRecords {
    private final RecordLimits limits;
    private final Map<AttemptId, AttemptRecord> records = new HashMap<>();
    private final PriorityQueue<AttemptRecord> tombstones =
            new PriorityQueue<>(Comparator.comparingLong((AttemptRecord record) -> record.admitByMillis));
    private final ArrayDeque<AttemptRecord> endedRecords = new ArrayDeque<>();
    private long endedBytes;
    private long evictedUpToMillis = Long.MIN_VALUE;
    private long rejectedUpToMillis = Long.MIN_VALUE;

    /** Creates an empty set of records. */
    public AttemptRecords(RecordLimits limits) {
        this.limits = limits;
    }

    /** Classifies an attempt that is received now. */
    ArrivalStatus classify(AttemptId id, long admitByMillis, long nowMillis) {
        if (records.containsKey(id)) {
            return ArrivalStatus.KNOWN;
        }
        if (admitByMillis <= evictedUpToMillis) {
            return ArrivalStatus.POSSIBLY_EVICTED;
        }
        if (admitByMillis < nowMillis) {
            return ArrivalStatus.EXPIRED;
        }
        if (admitByMillis <= rejectedUpToMillis) {
            return ArrivalStatus.AT_CAPACITY;
        }
        evict(nowMillis);
        if (records.size() >= limits.maxRecords()) {
            rejectedUpToMillis = admitByMillis;
            return ArrivalStatus.AT_CAPACITY;
        }
        return ArrivalStatus.NEW;
    }

    /** Returns the state of a recorded attempt, or null. */
    public @Nullable AttemptState state(AttemptId id) {
        AttemptRecord record = records.get(id);
        return record == null ? null : record.state;
    }

    /** Returns the stream of a running or ended attempt, or null. */
    public @Nullable StreamBuffer stream(AttemptId id) {
        AttemptRecord record = records.get(id);
        return record == null ? null : record.stream;
    }

    void markQueued(AttemptId id, long admitByMillis) {
        records.put(id, new AttemptRecord(id, admitByMillis, AttemptState.QUEUED));
    }

    void markRunning(AttemptId id, long admitByMillis, StreamBuffer stream) {
        AttemptRecord record = new AttemptRecord(id, admitByMillis, AttemptState.RUNNING);
        record.stream = stream;
        records.put(id, record);
    }

    void markEnded(AttemptId id, @Nullable ResultCode failure, long nowMillis) {
        AttemptRecord record = records.get(id);
        if (record == null || record.state != AttemptState.RUNNING) {
            return;
        }
        record.state = failure == null ? AttemptState.COMPLETED : AttemptState.FAILED;
        record.failure = failure;
        record.endedMillis = nowMillis;
        endedRecords.addLast(record);
        if (record.stream != null) {
            record.endedBytes = record.stream.heldBytes();
            endedBytes += record.endedBytes;
        }
        evict(nowMillis);
    }

    void addTombstone(AttemptId id, long admitByMillis) {
        AttemptRecord record = new AttemptRecord(id, admitByMillis, AttemptState.TOMBSTONE);
        records.put(id, record);
        tombstones.add(record);
    }

    /** Ensures that an attempt which has not run never will, and returns what is recorded of it. */
    FenceOutcome fence(AttemptId id, long admitByMillis, long nowMillis) {
        AttemptRecord record = records.get(id);
        if (record != null) {
            return fenceOutcome(record);
        }
        return switch (classify(id, admitByMillis, nowMillis)) {
            case POSSIBLY_EVICTED, AT_CAPACITY, KNOWN -> new FenceOutcome.Unknown(ResultCode.RECORD_EVICTED);
            case EXPIRED -> new FenceOutcome.NeverAdmitted();
            case NEW -> {
                addTombstone(id, admitByMillis);
                yield new FenceOutcome.NeverAdmitted();
            }
        };
    }

    /** Evicts records that are no longer needed, and the oldest ended attempts while a limit is exceeded. */
    void evict(long nowMillis) {
        while (!tombstones.isEmpty() && tombstones.peek().admitByMillis < nowMillis) {
            records.remove(tombstones.remove().id);
        }
        discardOldestStreams();
        Iterator<AttemptRecord> oldestFirst = endedRecords.iterator();
        while (oldestFirst.hasNext()) {
            AttemptRecord record = oldestFirst.next();
            boolean retentionExpired =
                    nowMillis - record.endedMillis > limits.retention().toMillis();
            boolean mustKeep = !retentionExpired && records.size() < limits.maxRecords();
            if (mustKeep || record.admitByMillis >= nowMillis) {
                return;
            }
            oldestFirst.remove();
            evictEnded(record);
        }
    }

    /** Returns the number of recorded attempts, including tombstones. */
    public int size() {
        return records.size();
    }

    private void evictEnded(AttemptRecord record) {
        records.remove(record.id);
        endedBytes -= record.endedBytes;
        evictedUpToMillis = Math.max(evictedUpToMillis, record.admitByMillis);
    }

    private void discardOldestStreams() {
        Iterator<AttemptRecord> oldestFirst = endedRecords.iterator();
        while (endedBytes > limits.maxEndedBytes() && oldestFirst.hasNext()) {
            AttemptRecord record = oldestFirst.next();
            endedBytes -= record.endedBytes;
            record.endedBytes = 0;
            if (record.stream != null) {
                record.stream.discard();
            }
        }
    }

    private static FenceOutcome fenceOutcome(AttemptRecord record) {
        StreamBuffer stream = record.stream;
        long firstHeld = stream == null ? 0 : stream.firstHeldSequence();
        long next = stream == null ? 0 : stream.nextSequence();
        return switch (record.state) {
            case TOMBSTONE -> new FenceOutcome.NeverAdmitted();
            case QUEUED, RUNNING -> new FenceOutcome.Running(firstHeld, next);
            case COMPLETED, FAILED -> new FenceOutcome.Ended(firstHeld, next, record.failure);
        };
    }

    private static final class AttemptRecord {
        private final AttemptId id;
        private final long admitByMillis;
        private AttemptState state;
        private @Nullable StreamBuffer stream;
        private @Nullable ResultCode failure;
        private long endedMillis;
        private long endedBytes;

        private AttemptRecord(AttemptId id, long admitByMillis, AttemptState state) {
            this.id = id;
            this.admitByMillis = admitByMillis;
            this.state = state;
        }
    }
}
