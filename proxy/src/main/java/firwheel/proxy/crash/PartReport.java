package firwheel.proxy.crash;

import firwheel.proxy.targets.Target;
import java.time.Duration;

/**
 * Evidence that a target crashed as it began to respond to a request with a part of a prompt, as exchanged between
 * entries.
 *
 * @param target incarnation that crashed
 * @param request request that was running
 * @param familiar whether a target is known to have ever responded to a request with the part
 * @param cleared whether a target has responded to a request with the part since the crash
 * @param lastSeenAge time since a request with the part was last seen at an entry
 * @param crashAge time since the crash was observed
 */
public record PartReport(
        PromptPart part,
        Target.Key target,
        RequestFingerprint request,
        boolean familiar,
        boolean cleared,
        Duration lastSeenAge,
        Duration crashAge) {}
