package firwheel.cli;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.standin.InMemoryTableService;
import firwheel.standin.StandInEngine;
import firwheel.standin.StandInPlatform;
import firwheel.standin.StandInService;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Runs one stand-in until SIGTERM or SIGINT arrives. */
final class StandInCommand implements Command {
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

    @Argument(metaVar = "platform|engine|service", required = true, usage = "component to stand in for")
    private String kind = "";

    @Option(name = "--port", metaVar = "N", usage = "HTTP port; 0 selects a free port")
    private int port;

    @Option(name = "--ip", metaVar = "IP", usage = "IP address to listen on")
    private String ip = "127.0.0.1";

    @Option(name = "--first-token-millis", metaVar = "N", usage = "engine: delay before the first token")
    private long firstTokenMillis = 50;

    @Option(name = "--token-millis", metaVar = "N", usage = "engine: delay between tokens")
    private long tokenMillis = 20;

    @Option(name = "--delay-millis", metaVar = "N", usage = "service: processing time of each call")
    private long delayMillis = 5;

    @Override
    public ExitCode run() {
        Shutdown shutdown = Shutdown.handleSignals(STOP_TIMEOUT);
        Vertx vertx = Vertx.vertx();
        HttpServer server = listen(vertx).join();
        System.out.println("ready " + kind + "=http://" + ip + ":" + server.actualPort());
        return shutdown.await(() -> CompletableFuture.completedFuture(null), () -> {});
    }

    private CompletableFuture<HttpServer> listen(Vertx vertx) {
        return switch (kind) {
            case "platform" -> new StandInPlatform(vertx, new InMemoryTableService()).listen(ip, port);
            case "engine" ->
                new StandInEngine(vertx, Duration.ofMillis(firstTokenMillis), Duration.ofMillis(tokenMillis))
                        .listen(ip, port);
            case "service" -> new StandInService(vertx, Duration.ofMillis(delayMillis)).listen(ip, port);
            default ->
                throw new FirwheelException(
                        ResultCode.BAD_USAGE, "unknown stand-in " + kind + "; expected platform, engine or service");
        };
    }
}
