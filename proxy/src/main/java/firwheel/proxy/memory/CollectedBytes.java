package firwheel.proxy.memory;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;

/** Bytes that are collected until they are complete, in blocks that an account of {@link HeldBytes} includes. */
public final class CollectedBytes {
    private static final int FIRST_BLOCK_BYTES = 1024;
    private static final int MAX_BLOCK_BYTES = 64 * 1024;

    private final HeldBytes.Share share;
    private final List<byte[]> blocks = new ArrayList<>(1);
    private long blockBytes;
    private int length;
    private int usedOfLast;

    /** Creates an empty collection, for whose blocks {@code share} is used. */
    public CollectedBytes(HeldBytes.Share share) {
        this.share = share;
    }

    /** Returns the number of bytes collected. */
    public int length() {
        return length;
    }

    /** Adds bytes; returns false, and adds none, if they are no longer to be kept. */
    public boolean append(Buffer bytes) {
        int copied = 0;
        while (copied < bytes.length()) {
            if (share.isClosed() || (isLastFull() && !addBlock(bytes.length() - copied))) {
                return false;
            }
            byte[] last = blocks.get(blocks.size() - 1);
            int count = Math.min(bytes.length() - copied, last.length - usedOfLast);
            bytes.getBytes(copied, copied + count, last, usedOfLast);
            copied += count;
            usedOfLast += count;
            length += count;
        }
        return !share.isClosed();
    }

    private boolean isLastFull() {
        return blocks.isEmpty() || usedOfLast == blocks.get(blocks.size() - 1).length;
    }

    /** Blocks grow with what is collected, so that unused space stays below the bytes in use. */
    private boolean addBlock(int neededBytes) {
        int wanted = Math.max(Math.max(FIRST_BLOCK_BYTES, neededBytes), length);
        int size = Math.min(MAX_BLOCK_BYTES, wanted);
        if (!share.set(blockBytes + size)) {
            return false;
        }
        blocks.add(new byte[size]);
        blockBytes += size;
        usedOfLast = 0;
        return true;
    }

    /** Returns a copy of the bytes. */
    public byte[] toBytes() {
        ByteBuf bytes = toByteBuf();
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        return copy;
    }

    /** Returns a view of the bytes, which is valid until they are released. */
    public ByteBuf toByteBuf() {
        if (blocks.isEmpty()) {
            return Unpooled.EMPTY_BUFFER;
        }
        return Unpooled.wrappedBuffer(blocks.toArray(byte[][]::new)).writerIndex(length);
    }

    /** Ends the accounting, as the bytes are accounted for elsewhere or about to become garbage. */
    public void endAccounting() {
        share.close();
    }

    /** Drops the bytes. */
    public void release() {
        share.close();
        blocks.clear();
        blockBytes = 0;
        length = 0;
        usedOfLast = 0;
    }
}
