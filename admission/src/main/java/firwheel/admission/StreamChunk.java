package firwheel.admission;

/**
 * One chunk of a stream.
 *
 * @param sequence position in the stream, starting at 0
 * @param payload bytes of the chunk; not copied, must not be modified after construction
 */
@SuppressWarnings("ArrayRecordComponent")
public record StreamChunk(long sequence, byte[] payload) {}
