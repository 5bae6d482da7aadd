package firwheel.proxy.server;

import firwheel.proxy.targets.Target;
import org.jspecify.annotations.Nullable;

/**
 * What a target is told with a request beside what the caller sent.
 *
 * @param target target that the request is meant for; another process at its address must refuse it
 * @param organisation organisation that the request is made for, or null where callers present no keys
 * @param remainingMillis time after which the target may stop
 * @param lastEventId last event that the caller already has, or null
 */
public record ForwardingMetadata(
        Target target, @Nullable String organisation, long remainingMillis, @Nullable String lastEventId) {}
