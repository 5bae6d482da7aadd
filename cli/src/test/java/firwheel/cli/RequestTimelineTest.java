package firwheel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RequestTimelineTest {
    private final RequestTimeline timeline = new RequestTimeline("a1");

    private static String line(String time, String event, String rest) {
        return "{\"time\":\"2026-12-04T10:00:" + time + "Z\",\"message\":\"m\",\"event\":\"" + event + "\"" + rest
                + "}";
    }

    @Nested
    final class Rendering {
        @Test
        void sortsLinesOfAllProcessesByTime() {
            timeline.add("b.log", line("02.5", "EV-201", ",\"request\":\"a1\",\"status\":503"));
            timeline.add("a.log", line("01.25", "EV-204", ",\"request\":\"a1\",\"reason\":\"broken\""));
            timeline.add("a.log", line("01.5", "EV-205", ",\"request\":\"a2\""));

            assertThat(timeline.render())
                    .containsExactly(
                            "2026-12-04T10:00:01.250Z a.log EV-204 m reason=broken",
                            "2026-12-04T10:00:02.500Z b.log EV-201 m status=503");
        }

        @Test
        void takesTheSourceFromThePrefixOfALine() {
            timeline.add("all.log", "  12.5 host-7 " + line("02", "EV-202", ",\"request\":\"a1\""));

            assertThat(timeline.render()).containsExactly("2026-12-04T10:00:02Z host-7 EV-202 m");
        }

        /** A process that was killed logs nothing about its requests, but its next start shows that it ended. */
        @Test
        void includesNearbyLifecycleEventsOfInvolvedProcesses() {
            timeline.add("x", "host-7 " + line("02", "EV-204", ",\"request\":\"a1\""));
            timeline.add("x", "host-7 " + line("04", "EV-101", ""));
            timeline.add("x", "host-7 " + line("40", "EV-101", ""));
            timeline.add("x", "host-8 " + line("03", "EV-101", ""));

            assertThat(timeline.render())
                    .containsExactly("2026-12-04T10:00:02Z host-7 EV-204 m", "2026-12-04T10:00:04Z host-7 EV-101 m");
        }

        @Test
        void isEmptyWithoutLinesOfTheRequest() {
            timeline.add("a.log", line("01", "EV-204", ",\"request\":\"a2\""));

            assertThat(timeline.render()).isEmpty();
            assertThat(timeline.lineCount()).isEqualTo(1);
        }
    }

    @Nested
    final class Unreadable {
        @Test
        void countsUnreadableLines() {
            timeline.add("a.log", "plain text");
            timeline.add("a.log", "{\"time\":\"yesterday\",\"request\":\"a1\"}");
            timeline.add("a.log", "{\"time\":\"2026");

            assertThat(timeline.unreadableCount()).isEqualTo(2);
            assertThat(timeline.render()).isEmpty();
        }
    }
}
