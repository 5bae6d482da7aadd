package firwheel.store;

import firwheel.model.Futures;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Starts servers on separate event loops. Vert.x runs everything that one non-Vert.x thread starts on the same event
 * loop, so several servers started from one thread would otherwise share a loop.
 */
public final class EventLoops {
    private EventLoops() {}

    /**
     * Runs {@code startup} on the next event loop. The returned future completes with the result of the future that
     * {@code startup} returns.
     */
    public static <T> CompletableFuture<T> deploy(Vertx vertx, Supplier<CompletableFuture<T>> startup) {
        CompletableFuture<T> result = new CompletableFuture<>();
        var unused = vertx.deployVerticle(new VerticleBase() {
            @Override
            public Future<?> start() {
                CompletableFuture<T> started = startup.get();
                Futures.forward(started, result);
                return Future.fromCompletionStage(started, context);
            }
        });
        return result;
    }
}
