package firwheel.admission;

import firwheel.model.AttemptId;
import java.util.zip.CRC32C;

/**
 * Receiving side of one stream, in the entry: accepts each chunk once and in order, drops all other frames, and
 * verifies the stream against its end frame. Not thread-safe.
 */
public final class StreamAssembler {
    private final AttemptId attempt;
    private final CRC32C checksum = new CRC32C();
    private long nextSequence;
    private long duplicateFrames;
    private long outOfOrderFrames;
    private long foreignFrames;
    private boolean complete;

    public StreamAssembler(AttemptId attempt) {
        this.attempt = attempt;
    }

    /** Processes a chunk frame; returns whether it is the next chunk and must be forwarded to the caller. */
    public boolean accept(AttemptId from, StreamChunk chunk) {
        if (!attempt.equals(from)) {
            foreignFrames++;
            return false;
        }
        if (chunk.sequence() != nextSequence || complete) {
            countUnexpectedFrame(chunk.sequence());
            return false;
        }
        nextSequence++;
        checksum.update(chunk.payload(), 0, chunk.payload().length);
        return true;
    }

    /** Processes an end frame and verifies the chunks received so far against it. */
    public StreamIntegrity end(AttemptId from, StreamEnd end) {
        if (!attempt.equals(from)) {
            foreignFrames++;
            return StreamIntegrity.FOREIGN;
        }
        if (end.chunkCount() > nextSequence) {
            return StreamIntegrity.MISSING_CHUNKS;
        }
        if (end.chunkCount() < nextSequence || end.checksum() != (int) checksum.getValue()) {
            return StreamIntegrity.CORRUPT;
        }
        complete = true;
        return StreamIntegrity.COMPLETE;
    }

    /** Returns the sequence number of the next expected chunk, from which the stream is resumed. */
    public long nextSequence() {
        return nextSequence;
    }

    /** Returns the number of chunk frames whose sequence number was already accepted. */
    public long duplicateFrames() {
        return duplicateFrames;
    }

    /** Returns the number of chunk frames received ahead of the next expected sequence number. */
    public long outOfOrderFrames() {
        return outOfOrderFrames;
    }

    /** Returns the number of frames that belong to other attempts. */
    public long foreignFrames() {
        return foreignFrames;
    }

    private void countUnexpectedFrame(long sequence) {
        if (sequence < nextSequence) {
            duplicateFrames++;
        } else {
            outOfOrderFrames++;
        }
    }
}
