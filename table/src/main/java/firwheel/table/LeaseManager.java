package firwheel.table;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.FirwheelException;
import firwheel.model.TimeSource;
import firwheel.store.Condition;
import firwheel.store.StoredRow;
import firwheel.store.TableService;
import firwheel.store.Transaction;
import firwheel.store.Write;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Contends for the controller lease of a zone and renews it. Times are measured on the monotonic clock of this process
 * only: the lease counts from before the write was sent and ends a margin early; another holder's lease is taken over
 * only after its row was seen unchanged for longer than it lasts. A lost answer to a write is settled by reading the
 * row back and comparing the write's id. Control thread only.
 */
public final class LeaseManager {
    private static final Logger LOGGER = LoggerFactory.getLogger(LeaseManager.class);

    private final String availabilityZone;
    private final String holderId;
    private final Timing timing;
    private final TableService service;
    private final TimeSource time;
    private final Executor control;
    private final Supplier<String> newWriteId;

    private @Nullable StoredRow observedRow;
    private long unchangedSinceNanos;
    private @Nullable PendingWrite pendingWrite;
    private boolean held;
    private long heldFencingNumber;
    private long validUntilNanos;

    /**
     * Timing of the lease.
     *
     * @param duration time that the lease lasts after a write
     * @param safetyMargin time before the end at which the holder stops giving orders
     */
    public record Timing(Duration duration, Duration safetyMargin) {
        /** Timing that writes every few seconds keep up. */
        public static final Timing DEFAULT = new Timing(Duration.ofSeconds(10), Duration.ofSeconds(2));

        public Timing {
            if (safetyMargin.compareTo(duration) >= 0) {
                throw new IllegalArgumentException("margin must be shorter than the lease");
            }
        }
    }

    private record PendingWrite(LeaseRecord lease, long sentNanos) {}

    /** Creates a contender that does not hold the lease. */
    public LeaseManager(
            String availabilityZone,
            String holderId,
            Timing timing,
            TableService service,
            TimeSource time,
            Executor control,
            Supplier<String> newWriteId) {
        this.availabilityZone = availabilityZone;
        this.holderId = holderId;
        this.timing = timing;
        this.service = service;
        this.time = time;
        this.control = control;
        this.newWriteId = newWriteId;
    }

    /** Returns the fencing number for an order given now; empty when the lease is not held for sure. */
    public OptionalLong fencingNumber() {
        boolean valid = held && time.monotonicNanos() < validUntilNanos;
        return valid ? OptionalLong.of(heldFencingNumber) : OptionalLong.empty();
    }

    /** Reads the lease and acquires or renews it when due. Call about every third of the lease's duration. */
    public CompletableFuture<Void> acquireOrRenew() {
        releaseIfExpired();
        return service.read(List.of(TableKeys.lease(availabilityZone)))
                .thenComposeAsync(rows -> onRead(rows.isEmpty() ? absentRow() : rows.get(0)), control)
                .exceptionally(error -> null);
    }

    private CompletableFuture<Void> onRead(StoredRow row) {
        long now = time.monotonicNanos();
        StoredRow before = observedRow;
        if (before == null || before.version() != row.version()) {
            observedRow = row;
            unchangedSinceNanos = now;
        }
        LeaseRecord stored = row.version() == 0 ? null : RowJson.readValue(row.value(), LeaseRecord.class);
        resolvePendingWrite(stored);
        if (stored != null && held && !isOwn(stored)) {
            release();
        }
        boolean renewable = stored != null && held && isOwn(stored) && now < validUntilNanos;
        if (renewable) {
            return write(row, heldFencingNumber);
        }
        if (stored == null
                || now - unchangedSinceNanos
                        > Duration.ofMillis(stored.durationMillis()).toNanos()) {
            return write(row, stored == null ? 1 : stored.fencingNumber() + 1);
        }
        return CompletableFuture.completedFuture(null);
    }

    /** A write whose answer was lost took effect when the row shows its id; it then counts from when it was sent. */
    private void resolvePendingWrite(@Nullable LeaseRecord stored) {
        PendingWrite write = pendingWrite;
        if (write != null
                && stored != null
                && stored.writeId().equals(write.lease().writeId())) {
            pendingWrite = null;
            onWriteConfirmed(write);
        }
    }

    private CompletableFuture<Void> write(StoredRow row, long fencingNumber) {
        LeaseRecord lease = new LeaseRecord(
                holderId, fencingNumber, newWriteId.get(), timing.duration().toMillis());
        PendingWrite write = new PendingWrite(lease, time.monotonicNanos());
        pendingWrite = write;
        Transaction transaction = new Transaction(
                List.of(new Condition(row.key(), row.version())),
                List.of(new Write(row.key(), RowJson.writeValue(lease))));
        return service.commit(transaction)
                .thenAcceptAsync(
                        answer -> {
                            if (answer.applied()) {
                                onWriteConfirmed(write);
                            }
                            if (write.equals(pendingWrite)) {
                                pendingWrite = null;
                            }
                        },
                        control)
                .exceptionally(error -> {
                    LOGGER.debug(
                            "lease write without answer: {}",
                            FirwheelException.of(error).code());
                    return null;
                });
    }

    private void onWriteConfirmed(PendingWrite write) {
        long until = write.sentNanos()
                + timing.duration().minus(timing.safetyMargin()).toNanos();
        boolean acquired = !held || heldFencingNumber != write.lease().fencingNumber();
        if (acquired && held && heldFencingNumber > write.lease().fencingNumber()) {
            return;
        }
        held = true;
        heldFencingNumber = write.lease().fencingNumber();
        validUntilNanos = acquired ? until : Math.max(validUntilNanos, until);
        if (acquired) {
            Events.log(LOGGER, EventCode.LEASE_ACQUIRED, "zone", availabilityZone, "fencingNumber", heldFencingNumber);
        }
    }

    private void releaseIfExpired() {
        if (held && time.monotonicNanos() >= validUntilNanos) {
            release();
        }
    }

    private void release() {
        held = false;
        Events.log(LOGGER, EventCode.LEASE_RELEASED, "zone", availabilityZone, "fencingNumber", heldFencingNumber);
    }

    private boolean isOwn(LeaseRecord stored) {
        return stored.holderId().equals(holderId) && stored.fencingNumber() == heldFencingNumber;
    }

    private StoredRow absentRow() {
        return new StoredRow(TableKeys.lease(availabilityZone), 0, "");
    }
}
