package firwheel.rebalance;

import java.util.concurrent.CompletableFuture;

/** Election of the controller of a group, with at most one controller per term. Implemented per platform. */
@FunctionalInterface
public interface ControllerElection {
    /**
     * Tries to become the controller of {@code group}. Completes with the new term, which is higher than all earlier
     * ones, or with 0 if another process won.
     */
    CompletableFuture<Long> tryBecomeController(String group);
}
