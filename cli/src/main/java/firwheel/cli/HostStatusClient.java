package firwheel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.http.StrictHttpClient;
import firwheel.store.HostList.HostEntry;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Queries hosts for the table revision that they have in force. */
final class HostStatusClient {
    static final int DEFAULT_ADMIN_PORT = 9090;

    private static final int OK = 200;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);

    private final List<String> adminAddresses;
    private final HttpClient client;
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Status of one host.
     *
     * @param address admin address
     * @param role role, or {@code ?} if the host did not respond
     * @param availabilityZone zone, or {@code ?} if the host did not respond
     * @param revision revision in force, or -1 if the host did not respond
     */
    record HostStatus(String address, String role, String availabilityZone, long revision) {
        boolean responded() {
            return revision >= 0;
        }
    }

    private HostStatusClient(List<String> adminAddresses, HttpClient client) {
        this.adminAddresses = adminAddresses;
        this.client = client;
    }

    /** Returns a client for {@code hosts} or, if that is empty, for all hosts of the host list that are not leaving. */
    static HostStatusClient of(PlatformConnection platform, String hosts, int adminPort) {
        List<String> addresses = hosts.isEmpty()
                ? PlatformConnection.await(platform.hostList().hosts()).stream()
                        .filter(entry -> !entry.leaving())
                        .map(entry -> ip(entry) + ":" + adminPort)
                        .toList()
                : Arrays.asList(hosts.split(","));
        HttpClientOptions options = new HttpClientOptions().setConnectTimeout((int) REQUEST_TIMEOUT.toMillis());
        return new HostStatusClient(addresses, StrictHttpClient.create(platform.vertx(), options));
    }

    private static String ip(HostEntry entry) {
        int colon = entry.ip().lastIndexOf(':');
        return colon > 0 && entry.ip().indexOf(':') == colon ? entry.ip().substring(0, colon) : entry.ip();
    }

    /** Queries each host once and returns their statuses in the order of the addresses. */
    List<HostStatus> queryAll() {
        List<CompletableFuture<HostStatus>> statuses =
                adminAddresses.stream().map(this::query).toList();
        return statuses.stream().map(CompletableFuture::join).toList();
    }

    /** Waits until all hosts have {@code revision} in force. Prints the lagging hosts and returns false on timeout. */
    boolean awaitRevision(long revision, Duration timeout) {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (true) {
            List<HostStatus> lagging = queryAll().stream()
                    .filter(status -> status.revision() < revision)
                    .toList();
            if (lagging.isEmpty()) {
                System.out.println("in force on " + adminAddresses.size() + " hosts");
                return true;
            }
            if (System.nanoTime() >= deadlineNanos) {
                lagging.forEach(status -> System.err.println(describe(status, revision)));
                return false;
            }
            firwheel.store.Delay.system().after(RETRY_INTERVAL).join();
        }
    }

    static String describe(HostStatus status, long latest) {
        if (!status.responded()) {
            return status.address() + " did not respond";
        }
        String lag = status.revision() < latest ? ", lags by " + (latest - status.revision()) : "";
        return status.address() + " " + status.role() + " " + status.availabilityZone() + " revision "
                + status.revision() + lag;
    }

    private CompletableFuture<HostStatus> query(String address) {
        List<String> parts = new ArrayList<>(Arrays.asList(address.split(":")));
        RequestOptions request = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(parts.get(0))
                .setPort(Integer.parseInt(parts.get(parts.size() - 1)))
                .setURI("/status");
        return client.request(request)
                .compose(sent -> sent.send().compose(HostStatusClient::readBody))
                .toCompletionStage()
                .toCompletableFuture()
                .orTimeout(REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(body -> parse(address, body.getBytes()))
                .exceptionally(error -> new HostStatus(address, "?", "?", -1));
    }

    private static Future<Buffer> readBody(HttpClientResponse response) {
        return response.statusCode() == OK
                ? response.body()
                : Future.failedFuture("reply to /status has status " + response.statusCode());
    }

    private HostStatus parse(String address, byte[] body) {
        try {
            JsonNode json = mapper.readTree(body);
            return new HostStatus(
                    address,
                    json.path("role").asText("?"),
                    json.path("availabilityZone").asText("?"),
                    json.path("revision").asLong(-1));
        } catch (IOException e) {
            return new HostStatus(address, "?", "?", -1);
        }
    }
}
