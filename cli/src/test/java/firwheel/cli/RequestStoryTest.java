package firwheel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RequestStoryTest {
    private final RequestStory story = new RequestStory("a1");

    private static String line(String time, String event, String rest) {
        return "{\"time\":\"2026-12-04T10:00:" + time + "Z\",\"message\":\"m\",\"event\":\"" + event + "\"" + rest
                + "}";
    }

    @Nested
    final class Told {
        @Test
        void inTheOrderOfTimeOverAllProcesses() {
            story.add("b.log", line("02.5", "EV-201", ",\"request\":\"a1\",\"status\":503"));
            story.add("a.log", line("01.25", "EV-204", ",\"request\":\"a1\",\"reason\":\"broken\""));
            story.add("a.log", line("01.5", "EV-205", ",\"request\":\"a2\""));

            assertThat(story.tell())
                    .containsExactly(
                            "2026-12-04T10:00:01.250Z a.log EV-204 m reason=broken",
                            "2026-12-04T10:00:02.500Z b.log EV-201 m status=503");
        }

        @Test
        void withTheNameThatStandsBeforeALine() {
            story.add("all.log", "  12.5 host-7 " + line("02", "EV-202", ",\"request\":\"a1\""));

            assertThat(story.tell()).containsExactly("2026-12-04T10:00:02Z host-7 EV-202 m");
        }

        /** A process that ended writes nothing about its requests; its next start explains the silence. */
        @Test
        void withStartsAndDrainsOfTheProcessesThatTookPart() {
            story.add("x", "host-7 " + line("02", "EV-204", ",\"request\":\"a1\""));
            story.add("x", "host-7 " + line("04", "EV-101", ""));
            story.add("x", "host-7 " + line("40", "EV-101", ""));
            story.add("x", "host-8 " + line("03", "EV-101", ""));

            assertThat(story.tell())
                    .containsExactly("2026-12-04T10:00:02Z host-7 EV-204 m", "2026-12-04T10:00:04Z host-7 EV-101 m");
        }

        @Test
        void nothingWhereNoLineConcernsTheRequest() {
            story.add("a.log", line("01", "EV-204", ",\"request\":\"a2\""));

            assertThat(story.tell()).isEmpty();
            assertThat(story.lines()).isEqualTo(1);
        }
    }

    @Nested
    final class Unreadable {
        @Test
        void linesAreCounted() {
            story.add("a.log", "plain text");
            story.add("a.log", "{\"time\":\"yesterday\",\"request\":\"a1\"}");
            story.add("a.log", "{\"time\":\"2026");

            assertThat(story.unreadable()).isEqualTo(2);
            assertThat(story.tell()).isEmpty();
        }
    }
}
