package firwheel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.store.HostList.HostEntry;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Asks hosts for the table revision that they have in force. */
final class HostStatusClient {
    static final int DEFAULT_ADMIN_PORT = 9090;

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);

    private final List<String> adminAddresses;
    private final HttpClient client;
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Answer of one host.
     *
     * @param address admin address
     * @param role role, or {@code ?} when it does not answer
     * @param availabilityZone zone, or {@code ?}
     * @param revision revision in force; -1 when it does not answer
     */
    record HostStatus(String address, String role, String availabilityZone, long revision) {
        boolean answered() {
            return revision >= 0;
        }
    }

    private HostStatusClient(List<String> adminAddresses, HttpClient client) {
        this.adminAddresses = adminAddresses;
        this.client = client;
    }

    /** Asks {@code hosts}, or when that is empty the hosts of the platform's list that are not leaving. */
    static HostStatusClient of(PlatformConnection platform, String hosts, int adminPort) {
        List<String> addresses = hosts.isEmpty()
                ? PlatformConnection.await(platform.hostList().hosts()).stream()
                        .filter(entry -> !entry.leaving())
                        .map(entry -> ip(entry) + ":" + adminPort)
                        .toList()
                : Arrays.asList(hosts.split(","));
        HttpClientOptions options = new HttpClientOptions().setConnectTimeout((int) REQUEST_TIMEOUT.toMillis());
        return new HostStatusClient(addresses, platform.vertx().createHttpClient(options));
    }

    private static String ip(HostEntry entry) {
        int colon = entry.ip().lastIndexOf(':');
        return colon > 0 && entry.ip().indexOf(':') == colon ? entry.ip().substring(0, colon) : entry.ip();
    }

    /** Asks all hosts once. */
    List<HostStatus> queryAll() {
        List<CompletableFuture<HostStatus>> answers =
                adminAddresses.stream().map(this::query).toList();
        return answers.stream().map(CompletableFuture::join).toList();
    }

    /** Waits until all hosts have {@code revision} in force; prints those that lag when the time is over. */
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
        if (!status.answered()) {
            return status.address() + " does not answer";
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
                .compose(sent -> sent.send().compose(response -> response.body()))
                .toCompletionStage()
                .toCompletableFuture()
                .orTimeout(REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(body -> parse(address, body.getBytes()))
                .exceptionally(error -> new HostStatus(address, "?", "?", -1));
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
