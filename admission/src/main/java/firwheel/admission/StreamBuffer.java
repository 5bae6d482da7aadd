package firwheel.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.jspecify.annotations.Nullable;

/**
 * Agent's buffer of one stream: keeps each chunk until the entry acknowledges it, so that a stream can be resumed over a
 * new link. Its owner stops reading from the engine while the buffer is full. Not thread-safe.
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

    /** Creates an empty buffer that counts as full from {@code maxBytes} on. */
    public StreamBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Sets the start of the answer. */
    public void setHead(ResponseHead newHead) {
        head = newHead;
    }

    /** Returns the start of the answer, or null before it is known. */
    public @Nullable ResponseHead head() {
        return head;
    }

    /** Appends the next chunk and returns it with its sequence number. */
    public StreamChunk append(byte[] payload) {
        if (end != null) {
            throw new IllegalStateException("the stream has ended");
        }
        StreamChunk chunk = new StreamChunk(nextSequence++, payload);
        checksum.update(payload, 0, payload.length);
        held.addLast(chunk);
        heldBytes += payload.length;
        return chunk;
    }

    /** Ends the stream and returns what its end frame states. */
    public StreamEnd finish() {
        if (end == null) {
            end = new StreamEnd(nextSequence, (int) checksum.getValue());
        }
        return end;
    }

    /** Drops the chunks before {@code sequence}, which the entry has. */
    public void acknowledge(long sequence) {
        while (!held.isEmpty() && held.getFirst().sequence() < sequence) {
            heldBytes -= held.removeFirst().payload().length;
            firstHeldSequence++;
        }
    }

    /** Drops all chunks to free memory; the stream can then no longer be resumed. */
    public void discard() {
        acknowledge(nextSequence);
    }

    /** Returns the chunks from {@code sequence} on; empty where there are none. */
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

    /** Returns the first sequence number that is still held. */
    public long firstHeldSequence() {
        return firstHeldSequence;
    }

    /** Returns the sequence number of the next chunk to be appended. */
    public long nextSequence() {
        return nextSequence;
    }

    /** Returns the bytes held. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns what the end frame states, or null while the stream runs. */
    public @Nullable StreamEnd end() {
        return end;
    }
}
