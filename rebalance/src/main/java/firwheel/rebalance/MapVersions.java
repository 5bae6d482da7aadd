package firwheel.rebalance;

/**
 * Versions of the expert maps of one controller. They are higher than those of all earlier terms, also those whose orders
 * are still on their way. Terms have up to 42 bits for decades, so that versions stay below 2^53, up to which readers of
 * JSON that use floating-point numbers tell all integers apart. A controller that has used up the versions of its term
 * needs another term.
 */
final class MapVersions {
    private static final long PER_TERM = 1L << 11; // a quarter of an hour at two rollouts a second
    private static final int PER_ROLLOUT = 2; // one to switch, one to abort

    private long term;
    private long used;

    /** Starts with the versions of a term. */
    void startTerm(long newTerm) {
        term = newTerm;
        used = 0;
    }

    /** Returns whether no version is left for another rollout. */
    boolean exhausted() {
        return used + PER_ROLLOUT >= PER_TERM;
    }

    /** Returns the version of the next rollout; the one after it is for aborting it. */
    long next() {
        if (exhausted()) {
            throw new IllegalStateException("no version left in term " + term);
        }
        used += PER_ROLLOUT;
        return term * PER_TERM + used;
    }
}
