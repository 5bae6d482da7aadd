package firwheel.proxy.server;

import firwheel.proxy.memory.HeldBytes;
import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.IntSupplier;

/**
 * Accounts for what a client makes the process keep on one connection besides bodies: heads of its open requests, a head
 * or trailers that have not ended, and bytes that have not been decoded. Heads count by the objects that are kept for
 * them, which are many times the bytes sent if lines are short.
 */
final class ClientInput {
    private static final int KEPT_BYTES_PER_LINE = 320; // of a decoded field and its copy for the target
    private static final int MAX_OPEN_REQUESTS = 2; // the current one, and the next one so that it need not be awaited
    private static final byte LINE_END = '\n';

    private final HeldBytes.Share share;
    private final IntSupplier maxHeadBytes;
    private final Deque<Long> openHeads = new ArrayDeque<>();
    private long openBytes;
    private long headBytes; // of the head or the trailers that are being received
    private long headLines;
    private long headStartedNanos;
    private boolean headStarted;

    /**
     * Creates an account without bytes.
     *
     * @param maxHeadBytes limit of a head in force, which also holds for trailers
     * @param close closes the connection, since others need the memory
     */
    ClientInput(HeldBytes heldBytes, IntSupplier maxHeadBytes, Runnable close) {
        this.maxHeadBytes = maxHeadBytes;
        share = heldBytes.open(HeldBytes.Kind.HEAD, () -> true, close);
    }

    /** Returns the number of bytes that a head and trailers may have. */
    int maxHeadBytes() {
        return maxHeadBytes.getAsInt();
    }

    /** Returns whether the next request may be decoded; if not, its bytes wait until an open one has ended. */
    boolean mayStartRequest() {
        return headBytes > 0 || openHeads.size() < MAX_OPEN_REQUESTS;
    }

    /**
     * Records bytes of a head or of trailers.
     *
     * @param undecodedBytes number of bytes behind them that have been received and belong to the same head
     * @return whether the head is within its limit
     */
    boolean onHead(ByteBuf decoded, int undecodedBytes, long nowNanos) {
        headBytes += decoded.readableBytes();
        for (int i = decoded.readerIndex(); i < decoded.writerIndex(); i++) {
            byte c = decoded.getByte(i);
            headLines += c == LINE_END ? 1 : 0;
            if (!headStarted && c > ' ') { // empty lines before a request are ignored
                headStarted = true;
                headStartedNanos = nowNanos;
            }
        }
        return headBytes + undecodedBytes <= maxHeadBytes();
    }

    /** Records that the head is complete; it is kept until its request has ended. */
    void onHeadComplete() {
        long kept = keptOfHead();
        openHeads.add(kept);
        openBytes += kept;
        forgetHead();
    }

    /** Records that the head or the trailers being received are not kept. */
    void forgetHead() {
        headBytes = 0;
        headLines = 0;
        headStarted = false;
    }

    /** Records that the first of the open requests has ended. */
    void onRequestEnd() {
        Long kept = openHeads.poll();
        if (kept != null) {
            openBytes -= kept;
            share.set(openBytes + keptOfHead());
        }
    }

    /** Updates the account; returns false if the connection has to be closed. */
    boolean keep(int undecodedBytes) {
        return share.set(openBytes + keptOfHead() + undecodedBytes);
    }

    private long keptOfHead() {
        return headBytes + headLines * KEPT_BYTES_PER_LINE;
    }

    /** Returns whether a head has not been complete within {@code nanos} since its first byte. */
    boolean isHeadOverdue(long nowNanos, long nanos) {
        return headStarted && nowNanos - headStartedNanos > nanos;
    }

    /** Records that the connection is closed. */
    void close() {
        share.close();
    }
}
