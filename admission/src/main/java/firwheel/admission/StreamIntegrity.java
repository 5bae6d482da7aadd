package firwheel.admission;

/** What an end frame makes of a stream. */
public enum StreamIntegrity {
    /** All chunks have arrived and match the checksum. */
    COMPLETE,
    /** Chunks are missing; resume from the next sequence number. */
    MISSING_CHUNKS,
    /** The chunks do not match the count or checksum; the answer must be broken off with an error. */
    CORRUPT,
    /** The frame belongs to another attempt. */
    FOREIGN
}
