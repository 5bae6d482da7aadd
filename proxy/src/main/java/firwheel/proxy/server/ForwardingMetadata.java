package firwheel.proxy.server;

import firwheel.proxy.targets.Target;
import org.jspecify.annotations.Nullable;

/**
 * Metadata that the entry adds to a request when forwarding it to a target.
 *
 * @param target target that the request is meant for; any other process at its address must reject it
 * @param organisation organisation on whose behalf the request is made, or null if clients need no API key
 * @param remainingMillis time after which the target may stop processing the request
 * @param lastEventId identifier of the last event that the client has received, or null
 */
public record ForwardingMetadata(
        Target target, @Nullable String organisation, long remainingMillis, @Nullable String lastEventId) {}
