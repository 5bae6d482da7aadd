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

/** Prints the story of one request from the logs of several processes. */
final class ExplainCommand implements Command {
    @Option(name = "--request", metaVar = "ID", required = true, usage = "id of the caller's attempt")
    private String request = "";

    @Argument(metaVar = "LOG...", required = true, usage = "files with JSON lines, of any processes")
    private List<File> files = new ArrayList<>();

    @Override
    public ExitCode run() {
        RequestStory story = new RequestStory(request);
        files.forEach(file -> read(file, story));
        if (story.unreadable() > 0) {
            System.err.println(story.unreadable() + " lines could not be read");
        }
        List<String> told = story.tell();
        if (told.isEmpty()) {
            throw new FirwheelException(
                    ResultCode.NOTHING_FOUND,
                    "no line concerns request \"" + request + "\" in " + files.size() + " files with " + story.lines()
                            + " lines");
        }
        told.forEach(System.out::println);
        return ExitCode.DONE;
    }

    private static void read(File file, RequestStory story) {
        try (BufferedReader reader = Files.newBufferedReader(file.toPath())) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                story.add(file.getName(), line);
            }
        } catch (IOException e) {
            throw new FirwheelException(ResultCode.FILE_UNREADABLE, "cannot read " + file, Duration.ZERO, e);
        }
    }
}
