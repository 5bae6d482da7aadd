package firwheel.proxy.config;

/**
 * Limits on client requests and connections.
 *
 * @param maxHeaderBytes maximum size of the request head
 * @param maxBodyBytes maximum size of the request body
 * @param headerTimeoutMillis maximum time for receiving the complete request head
 * @param idleTimeoutMillis time after which an idle connection is closed
 */
public record ClientLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
