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
 * Acquires and renews the controller lease of an availability zone. Durations are measured on this process's monotonic
 * clock only: validity starts before the write is sent and ends early by a safety margin, and another holder's lease is
 * taken over only after its row has been observed unchanged for longer than the lease duration. When the response to a
 * write is lost, the row is read back and its write id compared. Control thread only.
 */
public final class LeaseHolder {
    private static final Logger LOGGER = LoggerFactory.getLogger(LeaseHolder.class);

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
     * Duration and safety margin of the lease.
     *
     * @param duration validity of the lease after a write
     * @param safetyMargin time before expiry at which the holder stops issuing orders
     */
    public record Timing(Duration duration, Duration safetyMargin) {
        /** Timing for renewal every few seconds. */
        public static final Timing DEFAULT = new Timing(Duration.ofSeconds(10), Duration.ofSeconds(2));

        public Timing {
            if (safetyMargin.compareTo(duration) >= 0) {
                throw new IllegalArgumentException("safety margin must be shorter than the lease duration");
            }
        }
    }

    private record PendingWrite(LeaseRecord lease, long sentNanos) {}

    /** Creates a holder that has not acquired the lease yet. */
    public LeaseHolder(
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

    /** Returns the fencing number for orders issued now; empty unless the lease is certainly held. */
    public OptionalLong fencingNumber() {
        boolean valid = held && time.monotonicNanos() < validUntilNanos;
        return valid ? OptionalLong.of(heldFencingNumber) : OptionalLong.empty();
    }

    /**
     * Reads the lease and acquires or renews it when due. To be called about three times per lease duration; a failed
     * read or write is not reported, since the next call reads the lease again.
     */
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

    /**
     * Confirms a write whose response was lost if the stored row carries its write id. The lease is valid from the time
     * the write was sent.
     */
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
                        commitResult -> {
                            if (commitResult.applied()) {
                                onWriteConfirmed(write);
                            }
                            if (write.equals(pendingWrite)) {
                                pendingWrite = null;
                            }
                        },
                        control)
                .exceptionally(error -> {
                    LOGGER.debug(
                            "no response to lease write: {}",
                            FirwheelException.of(error).code());
                    return null;
                });
    }

    private void onWriteConfirmed(PendingWrite write) {
        long until = write.sentNanos()
                + timing.duration().minus(timing.safetyMargin()).toNanos();
        boolean acquired = !held || heldFencingNumber != write.lease().fencingNumber();
        if (acquired && held && heldFencingNumber > write.lease().fencingNumber()) {
            // Late response to a write with a lower fencing number than the lease now held.
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
