package firwheel.cli;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints the timeline of one request, merged from the logs of several processes. */
final class ExplainCommand implements Command {
    @Option(name = "--request", metaVar = "ID", required = true, usage = "request id of the caller's attempt")
    private String requestId = "";

    @Argument(metaVar = "LOG...", required = true, usage = "log files with JSON lines, from any processes")
    private List<File> files = new ArrayList<>();

    @Override
    public ExitCode run() {
        RequestTimeline timeline = new RequestTimeline(requestId);
        files.forEach(file -> read(file, timeline));
        if (timeline.unreadableCount() > 0) {
            System.err.println(timeline.unreadableCount() + " lines could not be parsed");
        }
        List<String> renderedLines = timeline.render();
        if (renderedLines.isEmpty()) {
            throw new FirwheelException(
                    ResultCode.NOTHING_FOUND,
                    "no log line of request \"" + requestId + "\" found in " + files.size() + " files with "
                            + timeline.lineCount() + " lines");
        }
        renderedLines.forEach(System.out::println);
        return ExitCode.SUCCESS;
    }

    private static void read(File file, RequestTimeline timeline) {
        try (BufferedReader reader = Files.newBufferedReader(file.toPath())) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                timeline.add(file.getName(), line);
            }
        } catch (IOException e) {
            throw new FirwheelException(ResultCode.FILE_UNREADABLE, "cannot read " + file, Duration.ZERO, e);
        }
    }
}
