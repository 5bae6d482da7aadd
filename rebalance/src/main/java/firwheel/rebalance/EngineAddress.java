package firwheel.rebalance;

/**
 * Where an engine listens.
 *
 * @param ip IP number
 * @param port port
 */
public record EngineAddress(String ip, int port) {}
