package firwheel.admission;

/** What an end frame makes of a stream. */
public enum StreamVerdict {
    /** All chunks have arrived and match the checksum. */
    WHOLE,
    /** Chunks are missing; resume from the next sequence number. */
    MISSING_CHUNKS,
    /** The chunks do not match the count or checksum; the answer must be broken off with an error. */
    CORRUPT,
    /** The frame belongs to another attempt. */
    FOREIGN
}
