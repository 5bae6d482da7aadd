package firwheel.rebalance;

import firwheel.experts.rollout.RankOrder;
import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;

/** Engine on a host that cannot be reached: each call fails after the time-out of its client. */
final class SilentEngine implements Engine {
    private static final long TIMEOUT_MILLIS = 200;

    private final Vertx vertx;

    SilentEngine(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public CompletableFuture<EngineState> state() {
        return timeOut();
    }

    @Override
    public CompletableFuture<long[]> expertCounts() {
        return timeOut();
    }

    @Override
    public CompletableFuture<int[][]> placedExperts() {
        return timeOut();
    }

    @Override
    public CompletableFuture<Boolean> submit(RankOrder order) {
        return timeOut();
    }

    private <T> CompletableFuture<T> timeOut() {
        CompletableFuture<T> call = new CompletableFuture<>();
        vertx.setTimer(
                TIMEOUT_MILLIS, id -> call.completeExceptionally(new IllegalStateException("engine does not respond")));
        return call;
    }
}
