package firwheel.store;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.http.StrictHttpClient;
import firwheel.model.FirwheelException;
import firwheel.model.ResponseHeadCheck;
import firwheel.model.ResultCode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Client of the platform's HTTP and JSON interface. A write whose response is lost fails with {@code FW-6003}, because
 * it may have been applied; a call that certainly had no effect fails with {@code FW-6001} or {@code FW-6002}.
 */
public final class HttpPlatformClient implements TableService, ObjectStore, HostList {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final int FIRST_NON_SUCCESS_STATUS = 300;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final ResponseHeadCheck HEAD_CHECK = new ResponseHeadCheck(Set.of());

    private final HttpClient client;
    private final URI address;
    private final Duration timeout;
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Creates a client of the platform at {@code address}; a call fails when the connection is idle for {@code
     * timeout}.
     */
    public HttpPlatformClient(Vertx vertx, URI address, Duration timeout) {
        this.address = address;
        this.timeout = timeout;
        client = StrictHttpClient.create(
                vertx, new HttpClientOptions().setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()));
    }

    @Override
    public CompletableFuture<List<StoredRow>> read(List<String> keys) {
        return post(PlatformRequests.READ_PATH, new PlatformRequests.Read(keys), false, new TypeReference<>() {});
    }

    @Override
    public CompletableFuture<List<StoredRow>> scan(String prefix, String afterKey, int limit) {
        return post(
                PlatformRequests.SCAN_PATH,
                new PlatformRequests.Scan(prefix, afterKey, limit),
                false,
                new TypeReference<>() {});
    }

    @Override
    public CompletableFuture<CommitResult> commit(Transaction transaction) {
        return post(PlatformRequests.COMMIT_PATH, transaction, true, new TypeReference<>() {});
    }

    @Override
    public CompletableFuture<List<HostEntry>> hosts() {
        return send(HttpMethod.GET, PlatformRequests.HOSTS_PATH, Buffer.buffer(), false)
                .thenApply(response -> decode(response.body(), new TypeReference<>() {}));
    }

    @Override
    public CompletableFuture<Optional<byte[]>> get(String name) {
        return send(HttpMethod.GET, PlatformRequests.OBJECTS_PATH + name, Buffer.buffer(), false)
                .thenApply(response -> response.status() == NOT_FOUND
                        ? Optional.empty()
                        : Optional.of(response.body().getBytes()));
    }

    @Override
    public CompletableFuture<Void> put(String name, byte[] content) {
        return send(HttpMethod.PUT, PlatformRequests.OBJECTS_PATH + name, Buffer.buffer(content), true)
                .thenAccept(response -> {});
    }

    private record Response(int status, Buffer body) {}

    private <T> CompletableFuture<T> post(String path, Object body, boolean write, TypeReference<T> type) {
        Buffer content;
        try {
            content = Buffer.buffer(mapper.writeValueAsBytes(body));
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
        return send(HttpMethod.POST, path, content, write).thenApply(response -> decode(response.body(), type));
    }

    private CompletableFuture<Response> send(HttpMethod method, String path, Buffer body, boolean write) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(address.getHost())
                .setPort(address.getPort())
                .setURI(path)
                .setIdleTimeout(timeout.toMillis());
        boolean[] sent = new boolean[1];
        Future<Response> response = client.request(options).compose(request -> {
            sent[0] = true;
            return request.send(body).compose(HttpPlatformClient::readResponse);
        });
        return response.toCompletionStage()
                .toCompletableFuture()
                .handle((value, error) -> requireSuccess(value, error, write && sent[0]));
    }

    private static Future<Response> readResponse(HttpClientResponse response) {
        String violation = HEAD_CHECK.violation(response.statusMessage(), response.headers());
        if (violation != null) {
            var unused = response.request().connection().close();
            return Future.failedFuture("head is not that of one response: " + violation);
        }
        return response.body().map(body -> new Response(response.statusCode(), body));
    }

    private static Response requireSuccess(
            @Nullable Response response, @Nullable Throwable error, boolean mayHaveTakenEffect) {
        if (response == null) {
            ResultCode code = mayHaveTakenEffect ? ResultCode.PLATFORM_UNKNOWN : ResultCode.PLATFORM_UNREACHABLE;
            throw new FirwheelException(code, String.valueOf(error), RETRY_AFTER, error);
        }
        if (response.status() < FIRST_NON_SUCCESS_STATUS || response.status() == NOT_FOUND) {
            return response;
        }
        ResultCode code =
                switch (response.status()) {
                    case TOO_MANY_REQUESTS -> ResultCode.PLATFORM_RATE_LIMITED;
                    case SERVICE_UNAVAILABLE -> ResultCode.PLATFORM_UNREACHABLE;
                    default -> mayHaveTakenEffect ? ResultCode.PLATFORM_UNKNOWN : ResultCode.PLATFORM_BAD_ANSWER;
                };
        throw new FirwheelException(code, "the platform responded with status " + response.status(), RETRY_AFTER);
    }

    private <T> T decode(Buffer body, TypeReference<T> type) {
        try {
            return mapper.readValue(body.getBytes(), type);
        } catch (IOException e) {
            throw new FirwheelException(
                    ResultCode.PLATFORM_BAD_ANSWER, "the platform's response is not valid JSON", Duration.ZERO, e);
        }
    }
}
