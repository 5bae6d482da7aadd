package firwheel.wire;

/**
 * Carries one message of the table protocol. The array is not shared with other code once the message has been sent or
 * received.
 *
 * @param content table message, encoded as MessagePack
 */
@SuppressWarnings("ArrayRecordComponent")
public record TableFrame(byte[] content) implements Message {}
