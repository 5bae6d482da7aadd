package firwheel.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ResponseHeadSyntaxTest {
    private static ResponseHeadSyntax read(String bytes, int partBytes) {
        ResponseHeadSyntax syntax = new ResponseHeadSyntax();
        for (int from = 0; from < bytes.length(); from += partBytes) {
            String part = bytes.substring(from, Math.min(bytes.length(), from + partBytes));
            syntax.accept(part.getBytes(StandardCharsets.ISO_8859_1));
        }
        return syntax;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\n",
                "HTTP/1.1 100\r\n\r\n",
                "HTTP/1.1 599 \r\nX-A:\r\n\tfolded X Y\r\n\r\n",
                "HTTP/1.0 404 Not\t\u00e9\r\nX: HTTP/1.1 000 X\r\n!#$%&'*+-.^_`|~1: :\r\n\r\nX A: content"
            })
    void soundHeadsPass(String bytes) {
        for (int partBytes = 1; partBytes <= bytes.length(); partBytes++) {
            assertThat(read(bytes, partBytes).violation())
                    .as("parts of %s bytes", partBytes)
                    .isNull();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\n\r\n",
                "HTTP/1.1 099 OK\r\n\r\n",
                "HTTP/1.1 600 OK\r\n\r\n",
                "HTTP/1.1 0200 OK\r\n\r\n",
                "HTTP/1.1 200\t\r\n\r\n",
                "\r\nHTTP/1.1 200 OK\r\n\r\n",
                "HTTP/1.1 200 O\rK\r\n\r\n"
            })
    void otherStatusLinesAreViolations(String bytes) {
        for (int partBytes = 1; partBytes <= bytes.length(); partBytes++) {
            assertThat(read(bytes, partBytes).violation())
                    .as("parts of %s bytes", partBytes)
                    .startsWith("no status line");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nX A: b\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX\t: b\r\n\r\n",
                "HTTP/1.1 200 OK\r\n X: b\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: b\r\nY\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: b\r\n: c\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: b\r\nY\u0000: c\r\n\r\n"
            })
    void namesThatAreNoTokensAreViolations(String bytes) {
        for (int partBytes = 1; partBytes <= bytes.length(); partBytes++) {
            assertThat(read(bytes, partBytes).violation())
                    .as("parts of %s bytes", partBytes)
                    .startsWith("name of a field");
        }
    }
}
