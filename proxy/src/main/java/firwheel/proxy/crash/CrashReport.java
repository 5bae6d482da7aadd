package firwheel.proxy.crash;

import firwheel.proxy.targets.Target;
import java.time.Duration;

/**
 * Evidence that a target crashed while it ran a request, as exchanged between entries.
 *
 * @param target incarnation that crashed; one incarnation crashes once, whoever reports it
 * @param cleared whether the request has been answered by a target since
 * @param lastSeenAge time since the request was last seen at an entry
 * @param crashAge time since the crash was observed
 */
public record CrashReport(
        RequestFingerprint request, Target.Key target, boolean cleared, Duration lastSeenAge, Duration crashAge) {}
