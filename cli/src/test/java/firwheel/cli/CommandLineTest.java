package firwheel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the exit codes and messages of the binary. */
final class CommandLineTest {
    private final PrintStream originalOut = System.out;
    private final PrintStream originalErr = System.err;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    private Path folder = Path.of("");

    @BeforeEach
    void captureOutput() {
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    @AfterEach
    void restoreOutput() {
        System.setOut(originalOut);
        System.setErr(originalErr);
    }

    private static ExitCode run(String... args) {
        return Main.run(args);
    }

    private String standardOutput() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String standardError() {
        return err.toString(StandardCharsets.UTF_8);
    }

    static Stream<String> commands() {
        return Commands.ALL.stream().map(Commands.Subcommand::name);
    }

    @Nested
    final class Help {
        @ParameterizedTest
        @MethodSource("firwheel.cli.CommandLineTest#commands")
        void isPrintedForEachCommand(String name) {
            String[] words = (name + " --help").split(" ");

            assertThat(run(words)).isEqualTo(ExitCode.SUCCESS);
            assertThat(standardOutput()).startsWith("firwheel " + name + ": ");
        }

        @Test
        void listsAllCommands() {
            assertThat(run("--help")).isEqualTo(ExitCode.SUCCESS);
            assertThat(standardOutput()).contains(commands().toList());
        }
    }

    @Nested
    final class BadUsage {
        @ParameterizedTest
        @CsvSource(
                delimiter = ';',
                value = {
                    "launch; unknown command launch; see firwheel --help",
                    "entry; --settings",
                    "entry --settings; --settings",
                    "entry --port 3; --port",
                    "demo --entry-port many; --entry-port",
                    "stand-in moon; expected platform, engine or service",
                    "check-settings /no/such/file; /no/such/file cannot be read",
                    "explain /no/such/file; --request",
                    "explain --request a1 /no/such/file; cannot read /no/such/file",
                })
        void exitsWith2AndPrintsOneLine(String line, String expected) {
            assertThat(run(line.split(" "))).isEqualTo(ExitCode.BAD_INPUT);
            assertThat(standardError()).startsWith("FW-900").contains(expected);
            assertThat(standardError().lines()).hasSize(1);
        }

        @Test
        void listsCommandsWhenNoneIsGiven() {
            assertThat(run()).isEqualTo(ExitCode.BAD_INPUT);
            assertThat(standardOutput()).contains("check-settings");
        }
    }

    @Nested
    final class Settings {
        @Test
        void validFileIsConfirmed() {
            assertThat(run("check-settings", "../examples/entry.json")).isEqualTo(ExitCode.SUCCESS);
            assertThat(standardOutput()).contains("valid settings of an entry");
        }

        @Test
        void fileOfAnotherRoleIsRejected() {
            assertThat(run("agent", "--settings", "../examples/entry.json")).isEqualTo(ExitCode.BAD_INPUT);
            assertThat(standardError()).contains("$.role: must be agent for this command");
        }

        @Test
        void busyPortExitsWith1() throws IOException {
            try (ServerSocket busy = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                String text = Files.readString(Path.of("../examples/entry.json"))
                        .replace("8080", Integer.toString(busy.getLocalPort()));
                Path file = Files.writeString(folder.resolve("entry.json"), text);

                assertThat(run("entry", "--settings", file.toString())).isEqualTo(ExitCode.FAILED);
                assertThat(standardError()).contains("FW-9003");
            }
        }
    }

    @Nested
    final class Logs {
        @AfterEach
        void restoreTextFormat() {
            LogFormat.TEXT.apply();
        }

        private static void logStart() {
            firwheel.model.Events.log(
                    org.slf4j.LoggerFactory.getLogger(CommandLineTest.class),
                    firwheel.model.EventCode.PROCESS_STARTED,
                    "role",
                    "entry");
        }

        @Test
        void jsonFormatWritesToStandardError() {
            LogFormat.JSON.apply();
            logStart();

            assertThat(standardError()).contains("\"event\":\"EV-101\"", "\"role\":\"entry\"");
            assertThat(standardOutput()).isEmpty();
        }

        @Test
        void serviceFormatWritesCompactJsonToStandardOutput() {
            LogFormat.SERVICE.apply();
            logStart();
            LogFormat.TEXT.apply(); // flushes the queue

            assertThat(standardOutput()).contains("\"event\":\"EV-101\"", "\"role\":\"entry\"");
            assertThat(standardOutput()).doesNotContain("thread_name", "@version");
        }

        @Test
        void textFormatWritesToStandardError() {
            LogFormat.TEXT.apply();
            logStart();

            assertThat(standardError()).contains("event=\"EV-101\" role=\"entry\"");
            assertThat(standardOutput()).isEmpty();
        }
    }
}
