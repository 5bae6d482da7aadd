package firwheel.admission;

import firwheel.model.AttemptId;
import java.util.zip.CRC32C;

/**
 * Entry's end of one stream: takes each chunk once and in order, drops everything else, and says at the end whether the
 * stream is whole. Not thread-safe.
 */
public final class StreamAssembler {
    private final AttemptId attempt;
    private final CRC32C checksum = new CRC32C();
    private long nextSequence;
    private long duplicateFrames;
    private long outOfOrderFrames;
    private long foreignFrames;
    private boolean complete;

    /** Creates an assembler for the stream of {@code attempt}. */
    public StreamAssembler(AttemptId attempt) {
        this.attempt = attempt;
    }

    /** Takes a chunk; returns whether it is the next one and must be passed on to the caller. */
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

    /** Takes the end frame and says what it makes of the stream. */
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

    /** Returns the next sequence number that is wanted; a stream is resumed from here. */
    public long nextSequence() {
        return nextSequence;
    }

    /** Returns the number of frames that had been taken before. */
    public long duplicateFrames() {
        return duplicateFrames;
    }

    /** Returns the number of frames that came before their predecessor. */
    public long outOfOrderFrames() {
        return outOfOrderFrames;
    }

    /** Returns the number of frames of other attempts. */
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
