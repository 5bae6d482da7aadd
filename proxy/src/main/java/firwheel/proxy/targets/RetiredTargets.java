package firwheel.proxy.targets;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Targets that are no longer listed, by their address. One that starts at the same address later proves that the earlier
 * one has ended, which the end of a registration alone does not.
 */
public final class RetiredTargets {
    private static final int MAX_TARGETS = 256;

    private final Map<String, Target> byAddress = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Target> eldest) {
            return size() > MAX_TARGETS;
        }
    };

    private static String address(Target target) {
        return target.ip() + ":" + target.port();
    }

    /** Returns whether {@code later} was started at the address of {@code earlier} after it. */
    public static boolean succeeds(Target later, Target earlier) {
        return address(later).equals(address(earlier)) && later.startedMillis() > earlier.startedMillis();
    }

    /** Adds a target that is no longer listed. */
    public void add(Target target) {
        byAddress.put(address(target), target);
    }

    /** Removes and returns the target that {@code started} succeeds, or returns null if there is none. */
    public @Nullable Target removePredecessor(Target started) {
        Target earlier = byAddress.get(address(started));
        if (earlier == null || !succeeds(started, earlier)) {
            return null;
        }
        byAddress.remove(address(started));
        return earlier;
    }
}
