package firwheel.admission;

/**
 * What the end frame of a stream states.
 *
 * @param chunkCount chunks of the whole stream
 * @param checksum CRC32C of all chunks in order
 */
public record StreamEnd(long chunkCount, int checksum) {}
