package firwheel.wire;

/** Messages that open and authenticate a link. Byte arrays are not shared after a message was sent or received. */
@SuppressWarnings("ArrayRecordComponent")
public sealed interface LinkMessage extends Message {
    /**
     * First message of both ends.
     *
     * @param majorVersion protocol version; ends with different major versions do not talk
     * @param minorVersion newer minor versions only add fields and message types
     * @param address address of the sender
     * @param availabilityZone zone of the sender
     * @param role role of the sender
     * @param incarnation random number drawn when the sender's process started
     * @param nonce random bytes that the other end must prove to have seen
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

    /** Proves knowledge of the shared key over both nonces. */
    record Proof(byte[] mac) implements LinkMessage {}
}
