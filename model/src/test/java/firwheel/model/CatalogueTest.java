package firwheel.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks that the documentation lists all constants of {@link ResultCode} and {@link EventCode}. */
final class CatalogueTest {
    private static final Path DOCS = Path.of("..", "docs");

    private static List<String> tableRows(String page, String prefix) throws IOException {
        return Files.readAllLines(DOCS.resolve(page)).stream()
                .filter(line -> line.startsWith("| " + prefix))
                .toList();
    }

    private static void assertTableMatches(String page, List<String> actual, List<String> expected) {
        List<String> missing =
                expected.stream().filter(line -> !actual.contains(line)).toList();
        List<String> extra =
                actual.stream().filter(line -> !expected.contains(line)).toList();
        assertThat(actual)
                .withFailMessage(
                        "docs/%s: add these lines:%n%s%nremove these lines:%n%s%nkeep the order of the enum",
                        page, String.join("\n", missing), String.join("\n", extra))
                .isEqualTo(expected);
    }

    @Nested
    final class Codes {
        @Test
        void areAllInTheTable() throws IOException {
            List<String> expected =
                    Arrays.stream(ResultCode.values()).map(this::expectedRow).toList();

            assertTableMatches("CODES.md", tableRows("CODES.md", "FW-"), expected);
        }

        @Test
        void haveDistinctNumbers() {
            assertThat(ResultCode.values()).extracting(ResultCode::number).doesNotHaveDuplicates();
        }

        @Test
        void haveASectionOnThePageOfTheirFamily() throws IOException {
            for (ResultCode code : ResultCode.values()) {
                String page = code.number() / 1_000 + "xxx.md";

                assertThat(Files.readString(DOCS.resolve("codes").resolve(page)))
                        .withFailMessage(
                                "docs/codes/%s: add this section:%n%n## %s %s%n%n%s%n%nWhat to do: %s",
                                page, code.label(), code.name(), code.summary(), code.remedy())
                        .contains(code.label());
            }
        }

        private String expectedRow(ResultCode code) {
            return "| %s | %s | %s | %d | %s | %s |"
                    .formatted(
                            code.label(),
                            code.name(),
                            code.outcome().label(),
                            code.httpStatus(),
                            code.summary(),
                            code.remedy());
        }
    }

    @Nested
    final class LoggedEvents {
        @Test
        void areAllInTheTable() throws IOException {
            List<String> expected =
                    Arrays.stream(EventCode.values()).map(this::expectedRow).toList();

            assertTableMatches("EVENTS.md", tableRows("EVENTS.md", "EV-"), expected);
        }

        @Test
        void haveDistinctNumbers() {
            Stream<String> labels = Arrays.stream(EventCode.values()).map(EventCode::label);

            assertThat(labels).doesNotHaveDuplicates();
        }

        private String expectedRow(EventCode event) {
            return "| %s | %s | %s | %s |".formatted(event.label(), event.name(), event.severity(), event.summary());
        }
    }
}
