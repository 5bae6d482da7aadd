package firwheel.entry;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.RankAddress;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Sends invalid input to an entry over real sockets. Each case must end with an error response or a closed connection
 * within the configured limits, and the entry must keep serving.
 */
final class BadInputTest {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int MAX_BODY_BYTES = 4_096;
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final TableSnapshot TABLE = new TableSnapshot(
            1, List.of(row("group", TargetKind.MODEL, "m", 7_001), row("desk", TargetKind.SERVICE, "desk", 7_002)));

    private final Vertx vertx = Vertx.vertx();
    private int port;

    private static TargetRow row(String name, TargetKind kind, String servedName, int port) {
        List<RankAddress> hosts = List.of(new RankAddress(0, LOOPBACK, port));
        return new TargetRow(
                name,
                kind,
                List.of(servedName),
                "a",
                RowState.SERVING,
                1,
                4,
                4,
                1_000,
                true,
                hosts,
                false,
                false,
                1,
                1);
    }

    @BeforeEach
    void listen() {
        port = listen(300, 300);
    }

    /** Starts a server that responds to valid requests with the path that it would forward to the target. */
    private int listen(long bodyTimeoutMillis, long idleTimeoutMillis) {
        EntrySettings settings = new EntrySettings(
                LOOPBACK,
                0,
                0,
                0,
                "a",
                "http://127.0.0.1:1",
                List.of(),
                "unused-shared-key",
                null,
                MAX_BODY_BYTES,
                bodyTimeoutMillis,
                idleTimeoutMillis,
                0);
        EntryMetrics metrics = new EntryMetrics();
        CallerHandler handler = new CallerHandler(
                vertx,
                settings,
                () -> TABLE,
                (request, responseWriter) ->
                        responseWriter.send(200, "text/plain", Buffer.buffer("accepted " + request.targetPath())),
                () -> false,
                metrics);
        CompletableFuture<HttpServer> server = new CompletableFuture<>();
        vertx.runOnContext(ignored -> {
            var unused = CallerServer.listen(vertx, settings, metrics, handler::handle)
                    .thenAccept(server::complete);
        });
        return server.orTimeout(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .join()
                .actualPort();
    }

    @AfterEach
    void checkStillServingAndStop() throws IOException {
        assertThat(exchange(request("GET /v1/models", "", ""))).startsWith("HTTP/1.1 200");
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static String request(String line, String headers, String body) {
        return line + " HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n"
                + headers + "\r\n" + body;
    }

    private static String completion(String body) {
        return request("POST /v1/completions", "", body);
    }

    /** Sends raw text and returns everything received until the entry closes the connection. */
    private String exchange(String rawRequest) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(rawRequest.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private void assertRefused(String rawRequest, int status, String code) throws IOException {
        String response = exchange(rawRequest);

        assertThat(response).matches("(?s)HTTP/1\\.[01] " + status + " .*").contains("\"code\":\"" + code + "\"");
        assertThat(response.toLowerCase(Locale.ROOT)).contains("firwheel-outcome: not-run");
    }

    @Nested
    final class Bodies {
        @ParameterizedTest
        @ValueSource(
                strings = {"", "{\"model\":", "[]", "3", "{\"model\":\"m\",\"prompt\":\"p\"} more", "{\"a\":1,\"a\":2}"
                })
        void notAJsonObject(String body) throws IOException {
            assertRefused(completion(body), 400, "FW-1001");
        }

        @Test
        void nestedTooDeeply() throws IOException {
            assertRefused(completion("{\"a\":" + "[".repeat(2_000) + "]".repeat(2_000) + "}"), 400, "FW-1001");
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "{\"prompt\":\"p\"}",
                    "{\"model\":3,\"prompt\":\"p\"}",
                    "{\"model\":\"m\"}",
                    "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}",
                    "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":\"4\"}",
                    "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":4000000000}",
                    "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":\"yes\"}",
                })
        void missingOrInvalidFields(String body) throws IOException {
            assertRefused(completion(body), 400, "FW-1002");
        }

        @Test
        void unknownModel() throws IOException {
            assertRefused(completion("{\"model\":\"none\",\"prompt\":\"p\"}"), 404, "FW-1004");
        }

        @Test
        void declaredTooLarge() throws IOException {
            assertRefused(
                    "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nExpect: 100-continue\r\nContent-Length: "
                            + (MAX_BODY_BYTES + 1) + "\r\n\r\n",
                    413,
                    "FW-1003");
        }

        @Test
        void chunkedTooLargeKeepsConnectionUsable() throws IOException {
            String tooLarge = "x".repeat(MAX_BODY_BYTES + 1);
            String responses =
                    exchange("POST /v1/completions HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(tooLarge.length()) + "\r\n" + tooLarge + "\r\n0\r\n\r\n"
                            + request("GET /v1/models", "", ""));

            assertThat(responses).startsWith("HTTP/1.1 413").contains("HTTP/1.1 200");
        }

        @Test
        void endlessBodyClosesConnection() throws IOException {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                assertThat(sendUntilClosed(socket)).isLessThan(100_000);
            }
        }

        private int sendUntilClosed(Socket socket) throws IOException {
            String chunk = "1000\r\n" + "x".repeat(0x1000) + "\r\n";
            String head = "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n";
            int chunks = 0;
            try {
                socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
                while (chunks < 100_000) {
                    socket.getOutputStream().write(chunk.getBytes(StandardCharsets.UTF_8));
                    chunks++;
                }
            } catch (SocketException e) {
                return chunks;
            }
            return chunks;
        }
    }

    @Nested
    final class Headers {
        @ParameterizedTest
        @CsvSource(
                delimiter = ';',
                value = {
                    "Firwheel-Priority; urgent",
                    "Firwheel-Deadline-Millis; soon",
                    "Firwheel-Deadline-Millis; 0",
                    "Firwheel-Deadline-Millis; -5",
                    "Firwheel-Deadline-Millis; 99999999999999999999",
                    "Firwheel-Organisation; two words",
                    "Idempotency-Key; tab\there",
                })
        void invalidValues(String name, String value) throws IOException {
            String headers = name + ": " + value + "\r\n";

            assertRefused(
                    request("POST /v1/completions", headers, "{\"model\":\"m\",\"prompt\":\"p\"}"), 400, "FW-1007");
            assertRefused(request("POST /services/desk/book", headers, "{}"), 400, "FW-1007");
        }

        @Test
        void tooManyHeaders() throws IOException {
            assertRefused(request("GET /v1/models", "X-Flood: 0123456789\r\n".repeat(1_000), ""), 431, "FW-1011");
        }

        @Test
        void requestLineTooLong() throws IOException {
            assertRefused(request("GET /" + "a".repeat(10_000), "", ""), 431, "FW-1011");
        }
    }

    @Nested
    final class Paths {
        @ParameterizedTest
        @ValueSource(strings = {"/", "/v1/none", "/services", "/metrics", "/v1/completions/more", "*", "no-slash"})
        void unknownPaths(String path) throws IOException {
            assertRefused(request("GET " + path, "", ""), 404, "FW-1006");
        }

        @ParameterizedTest
        @ValueSource(strings = {"GET /v1/completions", "DELETE /v1/chat/completions", "BREW /v1/models"})
        void unsupportedMethods(String line) throws IOException {
            assertRefused(request(line, "", ""), 405, "FW-1010");
        }

        @ParameterizedTest
        @ValueSource(strings = {"/services/", "/services/none/x", "/services/des%6B/x"})
        void unknownServices(String path) throws IOException {
            assertRefused(request("POST " + path, "", "{}"), 404, "FW-1005");
        }

        @Test
        void absoluteFormReachesService() throws IOException {
            assertThat(exchange(request("POST http://entry/services/desk/book?a=1", "", "{}")))
                    .contains("accepted /book?a=1");
        }
    }

    @Nested
    final class SlowSenders {
        @Test
        void slowBodyGetsTimeoutResponse() throws IOException {
            assertRefused(
                    "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: 10\r\n\r\n{\"mod", 408, "FW-1008");
        }

        @ParameterizedTest
        @ValueSource(
                strings = {"", "POST /v1/comp", "POST /v1/completions HTTP/1.1\r\nHost: ent", "\u0001\u0002\r\n\r\n"})
        void slowHeadClosesConnection(String rawRequest) throws IOException {
            assertThat(exchange(rawRequest)).isEmpty();
        }

        @Test
        void slowNextHeadClosesConnection() throws IOException {
            assertThat(exchange("GET /v1/models HTTP/1.1\r\nHost: entry\r\n\r\nGET /v1/mod"))
                    .startsWith("HTTP/1.1 200");
        }
    }

    @Nested
    final class MalformedHttp {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "JUNK\r\n\r\n",
                    "GET /v1/models HTTP/1.1\r\nno colon\r\n\r\n",
                })
        void unparsableRequestIsRefused(String rawRequest) throws IOException {
            assertRefused(rawRequest, 400, "FW-1012");
        }

        @Test
        void unparsableRequestAfterValidOneIsRefused() throws IOException {
            String responses = exchange("GET /v1/models HTTP/1.1\r\nHost: entry\r\n\r\nJUNK\r\n\r\n");

            assertThat(responses).startsWith("HTTP/1.1 200").contains(" 400 Bad Request", "FW-1012");
        }

        @Test
        void unsupportedHttpVersionIsRefused() throws IOException {
            assertThat(exchange("GET /v1/models HTTP/9.9\r\n\r\n")).contains(" 501 Not Implemented");
        }

        @Test
        void conflictingContentLengthsAreRefused() throws IOException {
            assertRefused(
                    "POST /v1/completions HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
                    400,
                    "FW-1012");
        }
    }
}
