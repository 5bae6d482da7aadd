package firwheel.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import firwheel.cli.HostStatusClient.HostStatus;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class HostStatusClientTest {
    private static final String BODY = "{\"role\":\"entry\",\"availabilityZone\":\"zone-a\",\"revision\":7}";

    private final List<HostStatusClient> clients = new ArrayList<>(); // Vert.x closes one that is no longer referenced
    private final PlatformConnection platform = new PlatformConnection("http://127.0.0.1:1");

    @AfterEach
    void close() {
        platform.close();
    }

    private List<HostStatus> query(String head) {
        int port = platform.vertx()
                .createNetServer()
                .connectHandler(socket -> socket.handler(
                        bytes -> socket.write(head + "\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY)))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
        HostStatusClient client = HostStatusClient.of(platform, "127.0.0.1:" + port, 0);
        clients.add(client);
        return client.queryAll();
    }

    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200 OK, true",
        "HTTP/1.1 000 X, false",
        "HTTP/1.1 0200 OK, false",
        "HTTP/1.1 404 Not Found, false",
        "HTTP/1.1 500 Internal Server Error, false",
        "'HTTP/1.1 200 OK\r\nX A: b', false"
    })
    void onlyWholeReportsShowARevision(String head, boolean responded) {
        assertThat(query(head))
                .extracting(HostStatus::responded, HostStatus::revision)
                .containsExactly(tuple(responded, responded ? 7L : -1L));
    }
}
