package firwheel.proxy.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.proxy.attempt.JoinedContentScanner.Boundary;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class JoinedContentScannerTest {
    private static final String SECOND =
            "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nAttempt: a1\r\nContent-Length: 5\r\n\r\noops!";

    private final JoinedContentScanner scanner = new JoinedContentScanner("Attempt", "a1"::equals);

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Nested
    final class Content {
        @Test
        void withTheHeadOfASecondResponseIsFoundHoweverItIsSplit() {
            byte[] content = bytes("x".repeat(3_000) + "{\"first\": \"ans" + SECOND);
            Random random = new Random(61);
            for (int run = 0; run < 100; run++) {
                JoinedContentScanner split = new JoinedContentScanner("Attempt", "a1"::equals);
                for (int from = 0; from < content.length; ) {
                    int to = Math.min(content.length, from + 1 + random.nextInt(run + 1));
                    split.accept(Arrays.copyOfRange(content, from, to));
                    from = to;
                }
                assertThat(split.violation()).contains("attempt a1");
            }
        }

        @Test
        void withAHeadWithLongOrFoldedLinesIsFound() {
            scanner.accept(
                    bytes("first ansHTTP/1.1 200 " + "O".repeat(2_000) + "K\r\nVia: x,\r\n y\r\nAttempt: a1\r\n"));

            assertThat(scanner.violation()).contains("attempt a1");
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nAttempt: another\r\n\r\nquoted",
                    "POST /x HTTP/1.1\r\nAttempt: a1\r\n\r\nechoed",
                    "HTTP/1.1 200 OK\r\n\r\nAttempt: a1\r\n",
                    "as in \"HTTP/1.1 200 OK\", then\r\nsome text\r\nAttempt: a1\r\n",
                    "HTTP/1.1 2000 things\r\nAttempt: a1\r\n"
                })
        void thatQuotesHttpIsNoSecondResponse(String content) {
            scanner.accept(bytes(content));
            scanner.acceptEnd();

            assertThat(scanner.violation()).isNull();
        }
    }

    @Nested
    final class EndOfContent {
        @Test
        void withinASecondResponseIsDecidedByWhatFollows() {
            for (int cut = 1; cut < SECOND.length(); cut++) {
                JoinedContentScanner cutScanner = new JoinedContentScanner("Attempt", "a1"::equals);
                cutScanner.accept(bytes("first ans" + SECOND.substring(0, cut)));
                if (cutScanner.violation() == null) {
                    assertThat(cutScanner.atEnd(new byte[0])).as("cut %s", cut).isEqualTo(Boundary.UNDECIDED);
                    assertThat(cutScanner.atEnd(bytes(SECOND.substring(cut))))
                            .as("cut %s", cut)
                            .isEqualTo(Boundary.JOINED);
                }
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"the answer", "H", "see HTTP/1.1", "HTTP/1.1 200 OK\r\nAttempt: another\r\n\r\nquoted"})
        void beforeAWholeSecondResponseIsSound(String content) {
            scanner.accept(bytes(content));

            assertThat(scanner.atEnd(bytes(SECOND))).isEqualTo(Boundary.SOUND);
        }

        /** Three responses, of which the second one breaks off exactly there, or has an interim one before it. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "first ansHTTP/1.1 200 OK\r\nContent-Type: te",
                    "first ansHTTP/1.1 200 O",
                    "first ansHTTP/1.1 100 Continue\r\n\r\n"
                })
        void withinOrBehindAHeadBeforeAWholeResponseIsJoined(String content) {
            scanner.accept(bytes(content));

            assertThat(scanner.atEnd(bytes(SECOND))).isEqualTo(Boundary.JOINED);
        }

        @Test
        void beforeBytesThatContinueNothingIsSound() {
            scanner.accept(bytes("answer H"));

            assertThat(scanner.atEnd(bytes("garbage"))).isEqualTo(Boundary.SOUND);
        }
    }
}
