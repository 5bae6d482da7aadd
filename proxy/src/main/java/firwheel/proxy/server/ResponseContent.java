package firwheel.proxy.server;

import firwheel.proxy.memory.CollectedBytes;
import firwheel.proxy.memory.HeldBytes;
import io.netty.buffer.ByteBuf;
import io.vertx.core.buffer.Buffer;
import org.jspecify.annotations.Nullable;

/** The content of one response that is not forwarded as it arrives, within the bounds for it. */
final class ResponseContent {
    private static final int MAX_KEPT_BYTES = 8 * 1024 * 1024;
    // Content that is not passed on is read, so that its connection can be used again, but only if it is short.
    private static final int MAX_SKIPPED_BYTES = 64 * 1024;

    private final CollectedBytes kept;
    private int skippedBytes;

    /** Creates empty content, for whose bytes {@code share} is used. */
    ResponseContent(HeldBytes.Share share) {
        kept = new CollectedBytes(share);
    }

    /** Returns the bound that content of a stated length exceeds if it is to be kept, or null. */
    static @Nullable String lengthViolation(long statedBytes) {
        return statedBytes > MAX_KEPT_BYTES
                ? "stated length of " + statedBytes + " bytes exceeds " + MAX_KEPT_BYTES
                : null;
    }

    /** Keeps bytes that are passed on once the content is complete; returns the bound that they exceed, or null. */
    @Nullable
    String keep(Buffer bytes) {
        if (kept.length() + bytes.length() > MAX_KEPT_BYTES) {
            return "content exceeds " + MAX_KEPT_BYTES + " bytes";
        }
        kept.append(bytes);
        return null;
    }

    /** Skips bytes that are not passed on; returns the bound that they exceed, or null. */
    @Nullable
    String skip(Buffer bytes) {
        skippedBytes += bytes.length();
        return skippedBytes > MAX_SKIPPED_BYTES
                ? "content of over " + MAX_SKIPPED_BYTES + " bytes that is not passed on"
                : null;
    }

    /** Returns the number of bytes kept. */
    int length() {
        return kept.length();
    }

    /** Returns a view of the bytes kept. */
    ByteBuf toByteBuf() {
        return kept.toByteBuf();
    }

    /** Ends the accounting for the bytes, which are passed on or about to become garbage. */
    void endAccounting() {
        kept.endAccounting();
    }

    /** Drops the bytes. */
    void release() {
        kept.release();
    }
}
