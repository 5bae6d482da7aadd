package firwheel.rebalance;

import firwheel.experts.rollout.RankOrder;
import java.util.concurrent.CompletableFuture;

/** The model engine of one rank. The adapter to a platform implements it. */
public interface Engine {
    /** Reads what the engine reports of itself. */
    CompletableFuture<EngineState> state();

    /** Reads how often each expert was chosen since the engine started, set after set. */
    CompletableFuture<long[]> expertCounts();

    /** Reads the experts that the map in use places on this rank, by set. */
    CompletableFuture<int[][]> placedExperts();

    /** Gives an order; the result says whether the engine took it. A failure leaves open whether it will. */
    CompletableFuture<Boolean> submit(RankOrder order);
}
