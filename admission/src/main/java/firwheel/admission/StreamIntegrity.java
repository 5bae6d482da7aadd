package firwheel.admission;

/** Result of verifying a stream against its end frame. */
public enum StreamIntegrity {
    /** All chunks have been received and match the checksum. */
    COMPLETE,
    /** Chunks are missing; the stream must be resumed at the next expected sequence number. */
    MISSING_CHUNKS,
    /** The chunks do not match the count or the checksum; the response must be aborted with an error. */
    CORRUPT,
    /** The end frame belongs to another attempt. */
    FOREIGN
}
