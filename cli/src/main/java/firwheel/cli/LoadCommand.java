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

/** Offers load to entries and checks every answer; exits with 1 when a promise was broken. */
final class LoadCommand implements Command {
    @Option(name = "--entry", metaVar = "URL[,URL]", required = true, usage = "addresses of entries, used in turn")
    private String entries = "";

    @Option(name = "--ledger", metaVar = "URL[,URL]", usage = "stand-in services whose ledgers are compared at the end")
    private String ledgers = "";

    @Option(name = "--rate", metaVar = "R", usage = "requests offered each second")
    private double ratePerSecond = 50;

    @Option(name = "--seconds", metaVar = "S", usage = "time during which requests are offered")
    private int seconds = 10;

    @Option(name = "--deadline-millis", metaVar = "N", usage = "deadline that each request carries")
    private long deadlineMillis = 30_000;

    @Option(name = "--max-open", metaVar = "N", usage = "requests open at once; more are shed and counted")
    private int maxInFlight = 5_000;

    @Option(name = "--seed", metaVar = "N", usage = "seed of the request contents")
    private long seed = 1;

    @Option(name = "--mix", metaVar = "FILE", usage = "kinds of requests in JSON; see examples/mix.json")
    private @Nullable File mixFile;

    @Option(name = "--json", metaVar = "FILE", usage = "where to write the report in JSON")
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
            throw new FirwheelException(ResultCode.BAD_USAGE, "not a list of addresses: " + list, Duration.ZERO, e);
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
