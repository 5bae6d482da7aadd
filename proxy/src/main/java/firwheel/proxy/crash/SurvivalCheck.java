package firwheel.proxy.crash;

import firwheel.proxy.targets.Target;
import java.time.Duration;

/**
 * Says whether a target has outlived a crash that it is suspected of. To an entry whose own link fails, targets look as if
 * they had crashed; they are still there afterwards, in the same incarnation.
 */
@FunctionalInterface
public interface SurvivalCheck {
    /** Returns whether an incarnation of a target is known to have been alive later than {@code crashAge} ago. */
    boolean hasSurvived(Target.Key target, Duration crashAge);
}
