package firwheel.wire;

/**
 * A message about the table. The array is not shared after the message was sent or received.
 *
 * @param content message of the table protocol in MessagePack
 */
@SuppressWarnings("ArrayRecordComponent")
public record TableFrame(byte[] content) implements Message {}
