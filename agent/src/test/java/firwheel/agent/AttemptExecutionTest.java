package firwheel.agent;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.admission.ResponseHead;
import firwheel.admission.StreamBuffer;
import firwheel.model.AttemptId;
import firwheel.model.ResultCode;
import firwheel.wire.AttemptMessage;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class AttemptExecutionTest {
    private static final long TIMEOUT_MILLIS = 8_000;
    private static final String FIRST = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n";
    private static final String SECOND = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

    private static final int FAILED = -1;

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = AttemptExecution.newClient(vertx, 1);

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Returns whether an attempt completes without a failure if its target writes {@code response}. */
    private boolean completes(String response) throws Exception {
        return completes(response, "", TIMEOUT_MILLIS);
    }

    private boolean completes(String response, String contentType, long withinMillis) throws Exception {
        return forwardedStatus(response, contentType, withinMillis) != FAILED;
    }

    /** Returns the status that the agent passes on of a target's response, or {@link #FAILED}. */
    private int forwardedStatus(String response, String contentType, long withinMillis) throws Exception {
        int port = vertx.createNetServer()
                .connectHandler(socket -> socket.handler(bytes -> socket.write(response)))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
        AttemptId id = new AttemptId(1, 2);
        AttemptMessage.Dispatch dispatch = new AttemptMessage.Dispatch(
                id,
                1,
                "row",
                0,
                "organisation",
                "normal",
                false,
                "POST",
                "/x",
                contentType,
                "",
                new byte[0],
                0,
                0,
                9,
                0);
        CompletableFuture<Integer> completed = new CompletableFuture<>();
        vertx.getOrCreateContext().runOnContext(ignored -> {
            StreamBuffer buffer = new StreamBuffer(1_000);
            AttemptStream stream = new AttemptStream(id, buffer, link -> {});
            Consumer<@Nullable ResultCode> onCompleted = failure -> {
                ResponseHead head = buffer.head();
                completed.complete(failure != null || head == null ? FAILED : head.status());
            };
            new AttemptExecution(vertx, dispatch, false, stream, onCompleted)
                    .start(client, "127.0.0.1", port, TIMEOUT_MILLIS);
        });
        return completed.get(withinMillis, TimeUnit.MILLISECONDS);
    }

    @Test
    void attemptWhoseRequestCannotBeWrittenEndsAtOnce() throws Exception {
        assertThat(completes(FIRST, "text/plain\r\nX-Second: header", TIMEOUT_MILLIS / 4))
                .isFalse();
    }

    @Test
    void failuresBehindACutResponseAreNoSuccess() throws Exception {
        List<Integer> wrongCuts = new ArrayList<>();
        for (int cut = 1; cut < FIRST.length(); cut++) {
            if (completes(FIRST.substring(0, cut) + SECOND)) {
                wrongCuts.add(cut);
            }
        }

        assertThat(wrongCuts).isEmpty();
        assertThat(completes(FIRST)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 0200 X\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200\t\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length A: 2\r\n\r\nanswer"
            })
    void malformedHeadsAreNoSuccess(String response) throws Exception {
        assertThat(forwardedStatus(response, "", TIMEOUT_MILLIS)).isEqualTo(FAILED);
    }

    @Test
    void interimResponsesAreNotPassedOn() throws Exception {
        assertThat(forwardedStatus("HTTP/1.1 102 Processing\r\n\r\n" + FIRST, "", TIMEOUT_MILLIS))
                .isEqualTo(200);
    }
}
