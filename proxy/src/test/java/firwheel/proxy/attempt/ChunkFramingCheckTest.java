package firwheel.proxy.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ChunkFramingCheckTest {
    private static @Nullable String check(String body, int partBytes) {
        ChunkFramingCheck check = new ChunkFramingCheck();
        String violation = null;
        for (int from = 0; from < body.length(); from += partBytes) {
            String part = body.substring(from, Math.min(body.length(), from + partBytes));
            violation = check.accept(part.getBytes(StandardCharsets.ISO_8859_1));
        }
        return violation;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"5\r\nhello\r\n0\r\n\r\n", "A;x=\"y\"\r\n0123456789\r\n1 ; z\r\n.\r\n0\r\nExpires: never\r\n\r\n"
            })
    void soundBodiesPass(String body) {
        for (int partBytes = 1; partBytes < body.length(); partBytes++) {
            assertThat(check(body, partBytes)).isNull();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "0\r\nX A: y\r\n\r\n",
                "0\r\nX : y\r\n\r\n",
                "0\r\nX: y\r\nZ\r\n\r\n",
                "1\r\n.\r\n0\r\n X: y\r\n\r\n"
            })
    void fieldsBehindTheLastChunkWithNamesThatAreNoTokensAreRefused(String body) {
        for (int partBytes = 1; partBytes < body.length(); partBytes++) {
            assertThat(check(body, partBytes))
                    .as("parts of %s bytes", partBytes)
                    .isNotNull();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "5\rHTTP/1.1 500 Internal Server Error\r\nhello\r\n0\r\n\r\n",
                "5;xHTTP/1.1 500 Internal Server Error\r\nhello\r\n0\r\n\r\n",
                "5 HTTP/1.1 500 X\r\nhello\r\n0\r\n\r\n",
                "5\r\nhello0\r\n\r\n",
                "\r\n0\r\n\r\n",
                "5\nhello\r\n0\r\n\r\n"
            })
    void linesThatAnotherResponseMayBeginInAreRefused(String body) {
        for (int partBytes = 1; partBytes < body.length(); partBytes++) {
            assertThat(check(body, partBytes))
                    .as("parts of %s bytes", partBytes)
                    .isNotNull();
        }
    }
}
