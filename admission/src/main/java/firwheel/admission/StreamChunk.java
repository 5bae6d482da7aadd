package firwheel.admission;

/**
 * One chunk of a stream.
 *
 * @param sequence position in the stream, from 0
 * @param payload bytes of the chunk; not copied, never changed after construction
 */
@SuppressWarnings("ArrayRecordComponent")
public record StreamChunk(long sequence, byte[] payload) {}
