package firwheel.experts.plan;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Rate-limits transfers from the weight store and shares its bandwidth fairly among groups. The next transfer is that
 * of the waiting group that has been sent the fewest bytes; a group accumulates no credit while it is idle. Not
 * thread-safe.
 */
public final class TransferScheduler {
    private final double bytesPerSecond;
    private final Map<String, GroupQueue> groups = new TreeMap<>();
    private double nextStartSeconds;

    /** Creates a scheduler for a weight store with a bandwidth of {@code bytesPerSecond}. */
    public TransferScheduler(double bytesPerSecond) {
        if (!(bytesPerSecond > 0)) {
            throw new IllegalArgumentException("bandwidth must be positive: " + bytesPerSecond);
        }
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Enqueues a transfer, or drops it if its plan is superseded. */
    public void add(ExpertTransfer transfer) {
        GroupQueue queue = groups.computeIfAbsent(transfer.group(), name -> new GroupQueue(leastBytesSent()));
        if (transfer.planNumber() >= queue.planNumber) {
            if (queue.waiting.isEmpty()) {
                queue.sentBytes = Math.max(queue.sentBytes, leastBytesSent());
            }
            queue.waiting.add(transfer);
        }
    }

    /** Removes the queued transfers of plans of {@code group} before {@code planNumber} and returns them. */
    public List<ExpertTransfer> supersede(String group, long planNumber) {
        GroupQueue queue = groups.computeIfAbsent(group, name -> new GroupQueue(leastBytesSent()));
        queue.planNumber = Math.max(queue.planNumber, planNumber);
        List<ExpertTransfer> cancelled = new ArrayList<>(queue.waiting);
        cancelled.removeIf(transfer -> transfer.planNumber() >= queue.planNumber);
        queue.waiting.removeAll(cancelled);
        return cancelled;
    }

    /**
     * Returns the transfer to start now; empty if none is queued or the bandwidth is used up.
     *
     * @param now time since the start of the scheduler
     */
    public Optional<ExpertTransfer> next(Duration now) {
        double nowSeconds = now.toNanos() / 1e9;
        GroupQueue queue = leastServedQueue();
        if (queue == null || nowSeconds < nextStartSeconds) {
            return Optional.empty();
        }
        ExpertTransfer transfer = queue.waiting.remove();
        queue.sentBytes += transfer.bytes();
        nextStartSeconds = Math.max(nowSeconds, nextStartSeconds) + transfer.bytes() / bytesPerSecond;
        return Optional.of(transfer);
    }

    /** Returns whether {@code weights} have the size and digest of {@code transfer}; if not, they must be discarded. */
    public static boolean matchesDigest(ExpertTransfer transfer, ByteBuffer weights) {
        if (weights.remaining() != transfer.bytes()) {
            return false;
        }
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(weights.duplicate());
            byte[] expected = HexFormat.of().parseHex(transfer.sha256());
            return MessageDigest.isEqual(digest.digest(), expected);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    private @Nullable GroupQueue leastServedQueue() {
        GroupQueue best = null;
        for (GroupQueue queue : groups.values()) {
            boolean hasWaiting = !queue.waiting.isEmpty();
            if (hasWaiting && (best == null || queue.sentBytes < best.sentBytes)) {
                best = queue;
            }
        }
        return best;
    }

    /**
     * Returns the byte count of the waiting group that has been sent the fewest bytes, or 0 if none is waiting. A group
     * that is new or was idle starts from it, so that it has neither priority nor a deficit.
     */
    private double leastBytesSent() {
        GroupQueue leastServed = leastServedQueue();
        return leastServed == null ? 0 : leastServed.sentBytes;
    }

    /** Queued transfers of one group. */
    private static final class GroupQueue {
        private final Deque<ExpertTransfer> waiting = new ArrayDeque<>();
        private double sentBytes;
        private long planNumber;

        private GroupQueue(double sentBytes) {
            this.sentBytes = sentBytes;
        }
    }
}
