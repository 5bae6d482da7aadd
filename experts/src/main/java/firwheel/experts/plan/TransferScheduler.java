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
 * Shares the weight store's rate among groups: the next transfer goes to the waiting group that has had the fewest
 * bytes, where a group that did not wait saves up no credit, and no transfer starts before the rate allows it.
 * Confined to one thread.
 */
public final class TransferScheduler {
    private final double bytesPerSecond;
    private final Map<String, GroupQueue> groups = new TreeMap<>();
    private double nextStartSeconds;

    /** Creates a scheduler for a store of this rate. */
    public TransferScheduler(double bytesPerSecond) {
        if (!(bytesPerSecond > 0)) {
            throw new IllegalArgumentException("rate must be positive: " + bytesPerSecond);
        }
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Adds a transfer; it is dropped if a later plan of its group is known. */
    public void add(ExpertTransfer transfer) {
        GroupQueue queue = groups.computeIfAbsent(transfer.group(), name -> new GroupQueue(leastBytesSent()));
        if (transfer.planNumber() >= queue.planNumber) {
            if (queue.waiting.isEmpty()) {
                queue.sentBytes = Math.max(queue.sentBytes, leastBytesSent());
            }
            queue.waiting.add(transfer);
        }
    }

    /** Drops the waiting transfers of earlier plans of {@code group} and returns them. */
    public List<ExpertTransfer> supersede(String group, long planNumber) {
        GroupQueue queue = groups.computeIfAbsent(group, name -> new GroupQueue(leastBytesSent()));
        queue.planNumber = Math.max(queue.planNumber, planNumber);
        List<ExpertTransfer> cancelled = new ArrayList<>(queue.waiting);
        cancelled.removeIf(transfer -> transfer.planNumber() >= queue.planNumber);
        queue.waiting.removeAll(cancelled);
        return cancelled;
    }

    /** Returns the transfer to start now, a time since the scheduler's start; empty while the rate is used up. */
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

    /** Returns whether {@code weights} are those that {@code transfer} wants; if not they must not be used. */
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
            throw new IllegalStateException("SHA-256 is part of every Java platform", e);
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

    /** Returns what the least served waiting group has had, so that a new group neither lags nor leads. */
    private double leastBytesSent() {
        GroupQueue leastServed = leastServedQueue();
        return leastServed == null ? 0 : leastServed.sentBytes;
    }

    /** Transfers of one group that wait. */
    private static final class GroupQueue {
        private final Deque<ExpertTransfer> waiting = new ArrayDeque<>();
        private double sentBytes;
        private long planNumber;

        private GroupQueue(double sentBytes) {
            this.sentBytes = sentBytes;
        }
    }
}
