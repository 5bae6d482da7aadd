package firwheel.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.jspecify.annotations.Nullable;

/**
 * Sending side of one stream, in the agent: keeps each chunk until the entry acknowledges it, so that the stream can be
 * resumed over a new link. The owner stops reading from the engine while the buffer is full. Not thread-safe.
 */
public final class StreamBuffer {
    private final int maxBytes;
    private final ArrayDeque<StreamChunk> held = new ArrayDeque<>();
    private final CRC32C checksum = new CRC32C();
    private long firstHeldSequence;
    private long nextSequence;
    private long heldBytes;
    private @Nullable ResponseHead head;
    private @Nullable StreamEnd end;

    /** Creates an empty buffer that is full once it holds at least {@code maxBytes}. */
    public StreamBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Sets the status and content type of the response. */
    public void setHead(ResponseHead newHead) {
        head = newHead;
    }

    /** Returns the status and content type of the response, or null before they are known. */
    public @Nullable ResponseHead head() {
        return head;
    }

    /** Appends the next chunk and returns it with its sequence number. */
    public StreamChunk append(byte[] payload) {
        if (end != null) {
            throw new IllegalStateException("cannot append to a stream that has ended");
        }
        StreamChunk chunk = new StreamChunk(nextSequence++, payload);
        checksum.update(payload, 0, payload.length);
        held.addLast(chunk);
        heldBytes += payload.length;
        return chunk;
    }

    /** Ends the stream and returns the contents of its end frame. */
    public StreamEnd finish() {
        if (end == null) {
            end = new StreamEnd(nextSequence, (int) checksum.getValue());
        }
        return end;
    }

    /** Drops the chunks before {@code sequence}, which the entry has received. */
    public void acknowledge(long sequence) {
        while (!held.isEmpty() && held.getFirst().sequence() < sequence) {
            heldBytes -= held.removeFirst().payload().length;
            firstHeldSequence++;
        }
    }

    /** Drops all chunks to free memory; after that none of them can be sent again. */
    public void discard() {
        acknowledge(nextSequence);
    }

    /** Returns the buffered chunks whose sequence number is at least {@code sequence}. */
    public List<StreamChunk> chunksFrom(long sequence) {
        List<StreamChunk> found = new ArrayList<>();
        for (StreamChunk chunk : held) {
            if (chunk.sequence() >= sequence) {
                found.add(chunk);
            }
        }
        return found;
    }

    /** Returns whether the stream can be resumed from {@code sequence}. */
    public boolean canResumeFrom(long sequence) {
        return sequence >= firstHeldSequence && sequence <= nextSequence;
    }

    /** Returns whether the owner should stop reading from the engine. */
    public boolean isFull() {
        return heldBytes >= maxBytes;
    }

    /** Returns the sequence number of the first buffered chunk. */
    public long firstHeldSequence() {
        return firstHeldSequence;
    }

    /** Returns the sequence number of the next chunk to be appended. */
    public long nextSequence() {
        return nextSequence;
    }

    /** Returns the total size of the buffered chunks, in bytes. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns the contents of the end frame, or null if the stream has not ended. */
    public @Nullable StreamEnd end() {
        return end;
    }
}
