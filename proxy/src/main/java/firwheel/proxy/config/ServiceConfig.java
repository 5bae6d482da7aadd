package firwheel.proxy.config;

import org.jspecify.annotations.Nullable;

/**
 * Configuration of a service.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one target accepts from all clients combined
 * @param engine parameters of its model engine, or null for a plain HTTP service
 */
public record ServiceConfig(String name, int maxConnections, @Nullable EngineConfig engine) {}
