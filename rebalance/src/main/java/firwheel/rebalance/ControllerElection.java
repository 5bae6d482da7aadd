package firwheel.rebalance;

import java.util.concurrent.CompletableFuture;

/** Election of the controller of a group, with at most one controller per term. Implemented per platform. */
@FunctionalInterface
public interface ControllerElection {
    /**
     * Term of a controller.
     *
     * @param number number of the term, higher than those of all earlier terms; 0 if another process won
     * @param first whether the group is known to have had no controller before
     */
    record Term(long number, boolean first) {
        /** Result of an election that another process won. */
        public static final Term NONE = new Term(0, false);
    }

    /** Tries to become the controller of {@code group}. Completes with the new term, or with {@link Term#NONE}. */
    CompletableFuture<Term> tryBecomeController(String group);
}
