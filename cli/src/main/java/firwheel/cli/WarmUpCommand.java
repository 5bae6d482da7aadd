package firwheel.cli;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.platform.WarmUp;
import firwheel.store.EventLoops;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Loads the classes that an entry and an agent use, then ends. */
final class WarmUpCommand implements Command {
    @Override
    public ExitCode run() {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        Signals.handle("HUP", () -> {});
        EventLoops.start(vertx, () -> warmUp(vertx)).join();
        return ExitCode.DONE;
    }

    private static CompletableFuture<Void> warmUp(Vertx vertx) {
        try {
            return WarmUp.run(vertx);
        } catch (IOException e) {
            throw new FirwheelException(ResultCode.CANNOT_LISTEN, String.valueOf(e.getMessage()), Duration.ZERO, e);
        }
    }
}
