package firwheel.table;

import java.util.List;

/**
 * Audit record of a batch of orders issued by a zone's controller.
 *
 * @param availabilityZone zone of the controller
 * @param holderId id of the lease holder that issued the orders
 * @param fencingNumber fencing number of the orders
 * @param sequence sequence number of the batch under this fencing number, from 1
 * @param reason reason for the orders
 * @param atMillis wall-clock time of the holder in milliseconds since the epoch
 * @param orders orders of the batch, one line each
 */
public record OrderRecord(
        String availabilityZone,
        String holderId,
        long fencingNumber,
        long sequence,
        String reason,
        long atMillis,
        List<String> orders) {
    public OrderRecord {
        orders = List.copyOf(orders);
    }
}
