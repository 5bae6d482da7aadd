package firwheel.rebalance;

/**
 * Listening address of an engine.
 *
 * @param ip IP address
 * @param port TCP port
 */
public record EngineAddress(String ip, int port) {}
