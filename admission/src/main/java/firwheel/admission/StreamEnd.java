package firwheel.admission;

/**
 * Contents of the end frame of a stream.
 *
 * @param chunkCount number of chunks in the whole stream
 * @param checksum CRC32C of the payloads of all chunks in order
 */
public record StreamEnd(long chunkCount, int checksum) {}
