package firwheel.table;

/**
 * Message to be sent to a peer.
 *
 * @param to recipient
 * @param message content
 */
public record OutgoingMessage(Peer to, TableMessage message) {}
