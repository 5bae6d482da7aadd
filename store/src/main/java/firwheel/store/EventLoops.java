package firwheel.store;

import firwheel.model.Futures;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Starts servers on event loops of their own. Vert.x gives all calls of one outside thread the same event loop, so
 * several servers started from one thread would share it.
 */
public final class EventLoops {
    private EventLoops() {}

    /** Runs {@code body} on the next event loop and completes as the future that it returns. */
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
