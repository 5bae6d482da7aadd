package firwheel.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.bench.capacity.CapacityPage;
import firwheel.bench.capacity.RecordedSlopes;
import firwheel.bench.capacity.SlopeMeasurement;
import firwheel.bench.crash.CrashingPartSimulation;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.model.TimeSource;
import java.io.File;
import java.io.IOException;
import java.time.Duration;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Measures cost slopes (cost per unit of load), prints the tables of the capacity page from recorded slopes, or simulates
 * days on which a part of prompts crashes targets.
 */
final class BenchCommand implements Command {
    @Argument(
            metaVar = "slopes|capacity|crashing-parts",
            required = true,
            usage = "measure cost slopes, print the capacity tables, or simulate parts of prompts that crash targets")
    private String mode = "";

    @Option(name = "--slopes", metaVar = "FILE", usage = "recorded slopes for the capacity tables")
    private File slopesFile = new File("docs/capacity/slopes.json");

    @Option(name = "--entries", metaVar = "N", usage = "entries of each simulated day")
    private int entries = 13;

    @Option(name = "--seeds", metaVar = "N", usage = "simulated days of each kind")
    private int seeds = 50;

    @Override
    public ExitCode run() {
        switch (mode) {
            case "slopes" -> System.out.println(json(SlopeMeasurement.measure(TimeSource.system())));
            case "capacity" -> printPage();
            case "crashing-parts" -> System.out.println(CrashingPartSimulation.table(entries, seeds));
            default ->
                throw new FirwheelException(
                        ResultCode.BAD_USAGE,
                        "unknown benchmark " + mode + "; expected slopes, capacity or crashing-parts");
        }
        return ExitCode.SUCCESS;
    }

    private void printPage() {
        try {
            RecordedSlopes slopes = RecordedSlopes.read(slopesFile.toPath());
            System.out.println(CapacityPage.slopes(slopes));
            System.out.println(CapacityPage.capacities(slopes));
        } catch (IOException e) {
            throw new FirwheelException(
                    ResultCode.BAD_USAGE, "cannot read " + slopesFile + ": " + e.getMessage(), Duration.ZERO, e);
        }
    }

    private static String json(RecordedSlopes slopes) {
        try {
            return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(slopes);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
