package firwheel.cli;

import firwheel.bench.decisions.Experiment;
import firwheel.bench.decisions.ExperimentFile;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Plays the days of an experiment file with each of its variants in virtual time, and prints tables of the results. */
final class ExperimentCommand implements Command {
    @Argument(metaVar = "FILE", required = true, usage = "experiment file, such as examples/lost-zone.toml")
    private File file = new File("");

    @Option(name = "--by-interval", usage = "also print what callers got by the time of their arrival")
    private boolean byInterval;

    @Option(name = "--plot", metaVar = "FILE", usage = "write a plot of the worth over time, as SVG")
    private @Nullable File plotFile;

    private int runs;

    @Override
    public ExitCode run() {
        ExperimentFile experimentFile = ExperimentFile.read(file.toPath());
        int total = experimentFile.runs();
        Experiment experiment =
                new Experiment(experimentFile, step -> System.err.println(++runs + " of " + total + ": " + step));
        experiment.run();
        System.out.print(experiment.tables(byInterval));
        String plot = experiment.plot();
        if (plotFile != null && plot != null) {
            write(plotFile, plot);
        }
        return ExitCode.SUCCESS;
    }

    private static void write(File target, String content) {
        try {
            Files.writeString(target.toPath(), content);
        } catch (IOException e) {
            throw new FirwheelException(
                    ResultCode.BAD_USAGE, "cannot write " + target + ": " + e.getMessage(), Duration.ZERO, e);
        }
    }
}
