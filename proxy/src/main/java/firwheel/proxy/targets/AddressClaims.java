package firwheel.proxy.targets;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Targets that are out of use because another one registered later at their address. The registration of a process that
 * has ended lapses only seconds later. A later registration can also be wrong, so a claim ends if it is not confirmed.
 */
final class AddressClaims {
    private static final int MAX_DISPLACED = 4_096; // many times the targets of a deployment

    private final Map<Target.Key, Target.Key> claimantOfDisplaced = new LinkedHashMap<>();
    private final Set<Target.Key> ended = TargetDirectory.newBoundedSet();

    /** Records the claim of {@code claimant}, which has just registered, to the address of {@code other}, if any. */
    void onRegistered(Target claimant, Target other) {
        boolean claims = isEarlierInSamePlace(other, claimant)
                && !claimant.draining()
                && !ended.contains(claimant.key())
                && claimantOfDisplaced.size() < MAX_DISPLACED;
        if (claims) {
            claimantOfDisplaced.put(other.key(), claimant.key());
        }
    }

    /** Returns whether another target claims the address of {@code target}. */
    boolean isDisplaced(Target.Key target) {
        return claimantOfDisplaced.containsKey(target);
    }

    /** Returns whether {@code claimant} displaces another target. */
    boolean isUnconfirmed(Target.Key claimant) {
        return claimantOfDisplaced.containsValue(claimant);
    }

    /** Ends the claim of an incarnation for good and returns the targets that it displaced. */
    Set<Target.Key> end(Target.Key claimant) {
        Set<Target.Key> displaced = new HashSet<>();
        claimantOfDisplaced.forEach((target, by) -> {
            if (by.equals(claimant)) {
                displaced.add(target);
            }
        });
        claimantOfDisplaced.keySet().removeAll(displaced);
        ended.add(claimant);
        return displaced;
    }

    /**
     * Returns whether {@code other} was in the place of {@code target} before: the same service, rank and address. Start
     * times are those of one host, whose clock may have been set back, in which case both stay in use.
     */
    private static boolean isEarlierInSamePlace(Target other, Target target) {
        return other.port() == target.port()
                && other.ip().equals(target.ip())
                && other.service().equals(target.service())
                && maySucceed(other.group(), target.group())
                && !other.instanceId().equals(target.instanceId())
                && other.startedMillis() > 0
                && other.startedMillis() < target.startedMillis();
    }

    /** A process that has just started may not be in a group yet. */
    private static boolean maySucceed(@Nullable GroupMembership earlier, @Nullable GroupMembership later) {
        return earlier == null
                || later == null
                || (earlier.name().equals(later.name()) && earlier.rank() == later.rank());
    }
}
