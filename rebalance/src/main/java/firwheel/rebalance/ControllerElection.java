package firwheel.rebalance;

import java.util.concurrent.CompletableFuture;

/** Makes a process the controller of a group, at most one for each term. The adapter to a platform implements it. */
@FunctionalInterface
public interface ControllerElection {
    /**
     * Tries to become controller of {@code group}; the result is the new term, higher than all before, or 0 where
     * another won or this process already lost.
     */
    CompletableFuture<Long> tryBecomeController(String group);
}
