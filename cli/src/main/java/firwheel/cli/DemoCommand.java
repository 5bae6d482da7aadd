package firwheel.cli;

import java.time.Duration;
import org.kohsuke.args4j.Option;

/** Runs stand-ins, agents and entries in one process, connected by real sockets. */
final class DemoCommand implements Command {
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(30);

    @Option(
            name = "--entry-port",
            metaVar = "N",
            usage = "HTTP port of the first entry; the others use the ports after it")
    private int entryPort = 8080;

    @Option(name = "--platform-port", metaVar = "N", usage = "HTTP port of the stand-in platform")
    private int platformPort = 8090;

    @Option(name = "--entries", metaVar = "N", usage = "number of entries")
    private int entries = 2;

    @Override
    public ExitCode run() {
        Shutdown shutdown = Shutdown.handleSignals(DRAIN_LIMIT.plus(Shutdown.AFTER_DRAIN_LIMIT));
        Demo demo = Demo.start(new Demo.Options(entryPort, platformPort, entries, DRAIN_LIMIT));
        System.out.println(demo.readyLine());
        return shutdown.await(demo::drain, demo::abortDrain);
    }
}
