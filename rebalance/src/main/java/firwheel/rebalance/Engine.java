package firwheel.rebalance;

import firwheel.experts.rollout.RankOrder;
import java.util.concurrent.CompletableFuture;

/** Client of the model engine of one rank. Implemented per platform. */
public interface Engine {
    /** Reads the state of the engine. */
    CompletableFuture<EngineState> state();

    /** Reads how often each expert was selected since the engine started, ordered by layer and expert. */
    CompletableFuture<long[]> expertCounts();

    /** Reads the experts that the map in use places on this rank, by layer. */
    CompletableFuture<int[][]> placedExperts();

    /** Submits an order. Completes with whether the engine accepted it; after a failure it may still take effect. */
    CompletableFuture<Boolean> submit(RankOrder order);
}
