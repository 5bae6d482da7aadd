package firwheel.bench.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firwheel.model.FirwheelException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ExperimentTest {
    private static final String ENGINE =
            """
            [engine]
            slots = 10
            queue = 20
            steps-per-pass = 6
            step-millis = 5.85
            millis-per-sequence = 0.4
            prompt-tokens-per-milli = 60
            prompt-tokens-per-step = 512
            expert-share = 0.85
            stall-seconds = 1.5
            form-seconds = 0.6
            """;
    private static final String VARIANTS =
            """
            [[variant]]
            name = "short"
            wait = "while-forming"
            [[variant]]
            name = "long"
            wait = "returned-callers"
            [[variant.return]]
            reason = "NO_TARGET_AVAILABLE"
            min-share = 1
            max-share = 1
            """;
    private static final String DAY =
            """
            [[day]]
            name = "lost"
            zones = 3
            ranks = 6
            entries = 3
            length-seconds = 12
            requests-per-second = 10
            prompt-tokens = 500
            events = 10
            objective-seconds = 0.4
            pause-objective-seconds = 0.12
            deadline-seconds = 8
            patience-seconds = 2
            retries = 1
            imbalance = 1.1
            first-imbalance = 1.7
            map-seconds = 0.8
            [[day.fault]]
            kind = "ZONE_CUT"
            at-seconds = 4
            length-seconds = 4
            strength = 1
            """;

    private final Path folder;

    ExperimentTest(@TempDir Path folder) {
        this.folder = folder;
    }

    private Path write(String content) throws IOException {
        return Files.writeString(folder.resolve("experiment.toml"), content);
    }

    @Nested
    final class ValidFile {
        @Test
        void givesARowForEachVariantAndTheSameFiguresEachTime() throws IOException {
            ExperimentFile file = ExperimentFile.read(write("seeds = [1, 2]\n" + ENGINE + VARIANTS + DAY));
            List<String> progress = new ArrayList<>();
            Experiment first = new Experiment(file, progress::add);
            first.run();
            Experiment second = new Experiment(file, step -> {});
            second.run();

            assertThat(progress).hasSize(file.runs()).first().isEqualTo("day lost, variant short, seed 1");
            assertThat(first.tables(true))
                    .contains("| lost | short |", "| lost | long |")
                    .isEqualTo(second.tables(true));
            assertThat(first.plot()).startsWith("<svg");
        }
    }

    @Nested
    final class InvalidFile {
        private void assertMistake(String content, String message) throws IOException {
            Path file = write(content);
            assertThatThrownBy(() -> ExperimentFile.read(file))
                    .isInstanceOf(FirwheelException.class)
                    .hasMessageContaining("experiment.toml:" + message);
        }

        @Test
        void isReportedWithLineAndKey() throws IOException {
            assertMistake(
                    "seeds = [1]\n[[variant]]\nname = \"x\"\nwait = \"sometimes\"\n", "4: variant[0].wait: must be");
            assertMistake("seeds = [1]\ncolour = 3\n", "2: colour: unknown key");
            assertMistake(
                    "seeds = [1]\n" + ENGINE.replace("slots = 10", "slots = \"ten\""), "3: engine.slots: must be");
            assertMistake("seeds = [1]\n" + ENGINE.replace("queue = 20\n", ""), "2: engine.queue: missing");
            assertMistake("seeds = [1\n", "");
            assertMistake("seeds = [1]\n" + DAY, "2: day: needs an engine");
        }
    }
}
