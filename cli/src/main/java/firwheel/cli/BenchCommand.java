package firwheel.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.bench.capacity.CapacityPage;
import firwheel.bench.capacity.RecordedSlopes;
import firwheel.bench.capacity.SlopeMeasurement;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.model.TimeSource;
import java.io.File;
import java.io.IOException;
import java.time.Duration;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Measures cost slopes (cost per unit of load), or prints the tables of the capacity page from recorded slopes. */
final class BenchCommand implements Command {
    @Argument(metaVar = "slopes|capacity", required = true, usage = "measure cost slopes, or print the capacity tables")
    private String mode = "";

    @Option(name = "--slopes", metaVar = "FILE", usage = "recorded slopes for the capacity tables")
    private File slopesFile = new File("docs/capacity/slopes.json");

    @Override
    public ExitCode run() {
        switch (mode) {
            case "slopes" -> System.out.println(json(SlopeMeasurement.measure(TimeSource.system())));
            case "capacity" -> printPage();
            default ->
                throw new FirwheelException(
                        ResultCode.BAD_USAGE, "unknown benchmark " + mode + "; expected slopes or capacity");
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
