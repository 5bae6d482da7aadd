package firwheel.cli;

import firwheel.platform.WarmUp;
import firwheel.store.EventLoops;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;

/** Loads the classes that an entry and an agent use and exits, to record a class-data sharing archive. */
final class WarmUpCommand implements Command {
    @Override
    public ExitCode run() {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        Signals.handle("HUP", () -> {});
        EventLoops.deploy(vertx, () -> WarmUp.run(vertx)).join();
        return ExitCode.SUCCESS;
    }
}
