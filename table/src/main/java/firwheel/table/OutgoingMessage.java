package firwheel.table;

/**
 * Message that is to be sent.
 *
 * @param to receiver
 * @param message content
 */
public record OutgoingMessage(Peer to, TableMessage message) {}
