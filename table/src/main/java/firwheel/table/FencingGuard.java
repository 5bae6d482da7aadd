package firwheel.table;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.store.StoredRow;
import firwheel.store.TableService;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * Gate for controllers' orders at an agent, also for engines that ignore fencing numbers. It keeps the highest number
 * seen and refuses lower ones. After a restart it takes no order before the platform's present number was read: orders
 * of a controller that was replaced meanwhile would pass otherwise. Control thread only.
 */
public final class FencingGuard {
    private boolean storedNumberLoaded;
    private long highestNumber;

    /** Takes the number that the platform's lease row holds. */
    public void setStoredNumber(long storedNumber) {
        storedNumberLoaded = true;
        highestNumber = Math.max(highestNumber, storedNumber);
    }

    /** Reads the present number of a zone's lease from the platform. */
    public CompletableFuture<Void> loadStoredNumber(TableService service, String availabilityZone, Executor control) {
        return service.read(List.of(TableKeys.lease(availabilityZone)))
                .thenAcceptAsync(rows -> setStoredNumber(fencingNumberOf(rows)), control);
    }

    /** Returns whether orders can be taken at all. */
    public boolean ready() {
        return storedNumberLoaded;
    }

    /** Returns the highest number seen. */
    public long highestNumber() {
        return highestNumber;
    }

    /**
     * Admits an order or refuses it.
     *
     * @throws FirwheelException with {@code FW-8001} for a lower number, or any number before the first reading
     */
    public void admit(long fencingNumber) {
        if (!storedNumberLoaded) {
            throw new FirwheelException(ResultCode.ORDER_FENCED, "the present fencing number is not read yet");
        }
        if (fencingNumber < highestNumber) {
            throw new FirwheelException(
                    ResultCode.ORDER_FENCED, "order has number " + fencingNumber + ", highest is " + highestNumber);
        }
        highestNumber = fencingNumber;
    }

    private static long fencingNumberOf(List<StoredRow> rows) {
        return rows.isEmpty()
                ? 0
                : RowJson.readValue(rows.get(0).value(), LeaseRecord.class).fencingNumber();
    }
}
