package firwheel.table;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.store.StoredRow;
import firwheel.store.TableService;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * Checks the fencing numbers of controllers' orders at an agent, so that stale orders are refused even when an engine
 * ignores fencing numbers. It keeps the highest number seen and refuses lower ones. After a restart it refuses all
 * orders until the current number is loaded from the platform; otherwise an order of a controller replaced in the
 * meantime could be admitted. Control thread only.
 */
public final class FencingGuard {
    private boolean storedNumberLoaded;
    private long highestNumber;

    /** Sets the fencing number read from the platform's lease row. */
    public void setStoredNumber(long storedNumber) {
        storedNumberLoaded = true;
        highestNumber = Math.max(highestNumber, storedNumber);
    }

    /** Loads the current fencing number of a zone's lease from the platform. */
    public CompletableFuture<Void> loadStoredNumber(TableService service, String availabilityZone, Executor control) {
        return service.read(List.of(TableKeys.lease(availabilityZone)))
                .thenAcceptAsync(rows -> setStoredNumber(fencingNumberOf(rows)), control);
    }

    /** Returns whether the stored number has been loaded, without which no order is admitted. */
    public boolean ready() {
        return storedNumberLoaded;
    }

    /** Returns the highest fencing number seen. */
    public long highestNumber() {
        return highestNumber;
    }

    /**
     * Admits an order with this fencing number or refuses it.
     *
     * @throws FirwheelException with {@code FW-8001} for a number lower than the highest seen, or for any number before
     *     the stored number is loaded
     */
    public void admit(long fencingNumber) {
        if (!storedNumberLoaded) {
            throw new FirwheelException(ResultCode.ORDER_FENCED, "the current fencing number has not been loaded yet");
        }
        if (fencingNumber < highestNumber) {
            throw new FirwheelException(
                    ResultCode.ORDER_FENCED,
                    "order has fencing number " + fencingNumber + ", but the highest number seen is " + highestNumber);
        }
        highestNumber = fencingNumber;
    }

    private static long fencingNumberOf(List<StoredRow> rows) {
        return rows.isEmpty()
                ? 0
                : RowJson.readValue(rows.get(0).value(), LeaseRecord.class).fencingNumber();
    }
}
