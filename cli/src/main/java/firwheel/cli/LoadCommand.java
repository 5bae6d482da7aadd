package firwheel.cli;

import firwheel.load.LoadOptions;
import firwheel.load.LoadRun;
import firwheel.load.RequestMix;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.model.TimeSource;
import io.vertx.core.Vertx;
import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Generates load on entries and verifies every response. Exits with 1 if a delivery guarantee was violated. */
final class LoadCommand implements Command {
    @Option(name = "--entry", metaVar = "URL[,URL]", required = true, usage = "addresses of entries, used round-robin")
    private String entries = "";

    @Option(
            name = "--ledger",
            metaVar = "URL[,URL]",
            usage = "stand-in services whose ledgers are checked after the run")
    private String ledgers = "";

    @Option(name = "--rate", metaVar = "R", usage = "requests per second")
    private double ratePerSecond = 50;

    @Option(name = "--seconds", metaVar = "S", usage = "duration of sending requests, in seconds")
    private int seconds = 10;

    @Option(name = "--deadline-millis", metaVar = "N", usage = "deadline of each request, in milliseconds")
    private long deadlineMillis = 30_000;

    @Option(
            name = "--max-open",
            metaVar = "N",
            usage = "maximum number of requests in flight; requests beyond it are counted as shed")
    private int maxInFlight = 5_000;

    @Option(name = "--seed", metaVar = "N", usage = "random seed of the request contents")
    private long seed = 1;

    @Option(name = "--mix", metaVar = "FILE", usage = "request mix in JSON; see examples/mix.json")
    private @Nullable File mixFile;

    @Option(name = "--json", metaVar = "FILE", usage = "file to write the JSON report to")
    private @Nullable File jsonFile;

    @Override
    public ExitCode run() {
        RequestMix mix = mixFile == null ? RequestMix.DEFAULT : RequestMix.read(mixFile);
        LoadOptions options = new LoadOptions(
                addresses(entries),
                addresses(ledgers),
                ratePerSecond,
                Duration.ofSeconds(seconds),
                Duration.ofMillis(deadlineMillis),
                maxInFlight,
                seed,
                mix);
        Vertx vertx = Vertx.vertx();
        try {
            LoadRun.Result result = LoadRun.start(vertx, options, TimeSource.system(), System.err::println)
                    .join();
            System.out.println(result.text());
            writeJson(result.json());
            return result.passed() ? ExitCode.SUCCESS : ExitCode.FAILED;
        } finally {
            vertx.close();
        }
    }

    private static List<URI> addresses(String list) {
        try {
            return Arrays.stream(list.split(",", -1))
                    .filter(address -> !address.isBlank())
                    .map(address -> URI.create(address.strip()))
                    .toList();
        } catch (IllegalArgumentException e) {
            throw new FirwheelException(ResultCode.BAD_USAGE, "invalid list of addresses: " + list, Duration.ZERO, e);
        }
    }

    private void writeJson(String json) {
        if (jsonFile == null) {
            return;
        }
        try {
            Files.writeString(jsonFile.toPath(), json + "\n");
        } catch (IOException e) {
            throw new FirwheelException(
                    ResultCode.BAD_USAGE, "cannot write " + jsonFile + ": " + e.getMessage(), Duration.ZERO, e);
        }
    }
}
