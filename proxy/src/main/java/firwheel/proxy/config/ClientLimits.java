package firwheel.proxy.config;

/**
 * What callers may send, and how long they may take.
 *
 * @param maxHeaderBytes most bytes of the request head
 * @param maxBodyBytes most bytes of the request body
 * @param headerTimeoutMillis time for the whole request head
 * @param idleTimeoutMillis time that a connection may lie idle
 */
public record ClientLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
