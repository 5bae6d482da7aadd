package firwheel.wire;

/**
 * Messages that open and authenticate a link. Byte arrays are not shared with other code once a message has been
 * sent or received.
 */
@SuppressWarnings("ArrayRecordComponent")
public sealed interface LinkMessage extends Message {
    /**
     * First message that both ends send.
     *
     * @param majorVersion major protocol version; a peer with a different one is refused
     * @param minorVersion minor protocol version; a higher one only adds fields and message types
     * @param address address on which the sender listens, as {@code ip:port}
     * @param availabilityZone availability zone of the sender
     * @param role role of the sender: {@code entry} or {@code agent}
     * @param incarnation random number chosen when the sender's process started
     * @param nonce random bytes that the other end must include in its proof
     */
    record Hello(
            int majorVersion,
            int minorVersion,
            String address,
            String availabilityZone,
            String role,
            long incarnation,
            byte[] nonce)
            implements LinkMessage {}

    /** Proves that the sender knows the shared key, with a MAC over the data of both {@link Hello} messages. */
    record Proof(byte[] mac) implements LinkMessage {}
}
