package firwheel.store;

import firwheel.model.EventCode;
import firwheel.model.Futures;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts servers on separate event loops. Vert.x runs everything that one non-Vert.x thread starts on the same event
 * loop, so several servers started from one thread would otherwise share a loop.
 */
public final class EventLoops {
    private static final Logger logger = LoggerFactory.getLogger(EventLoops.class);

    private EventLoops() {}

    /**
     * Runs {@code startup} on the next event loop. The returned future completes with the result of the future that
     * {@code startup} returns. From now on, exceptions that nothing on an event loop catches are logged as events.
     */
    public static <T> CompletableFuture<T> deploy(Vertx vertx, Supplier<CompletableFuture<T>> startup) {
        vertx.exceptionHandler(EventLoops::logUncaught);
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

    private static void logUncaught(Throwable error) {
        logger.atError()
                .addKeyValue("event", EventCode.UNCAUGHT_EXCEPTION.label())
                .setCause(error)
                .log(EventCode.UNCAUGHT_EXCEPTION.summary());
    }
}
