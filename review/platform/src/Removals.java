import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One entry and three workers. The entry is partitioned from the store for some ten seconds, until
 * it has just given a call to the store up; soon after the partition a
 * worker that never reports draining leaves, as its entry in the store is removed. Does the entry, once in touch again,
 * still send requests to it later than drainMs after the store's acknowledgement?
 */
public final class Removals {
    private static final int CYCLES = 5;
    private static final int CUT_MILLIS = 8_000;
    private static final int MAX_MORE_CUT_MILLIS = 3_000;
    private static final int REMOVED_AFTER_MILLIS = 500;
    private static final int DRAIN_MILLIS = 2_000;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int LINGER_MILLIS = 2_700; // drainMs and a little longer
    private static final int WORK_MILLIS = 86;
    private static final int SETTLE_MILLIS = 7_500;
    private static final int REQUEST_INTERVAL_MILLIS = 25;

    /** One worker; times are of the deployment, in milliseconds. */
    private static final class Worker {
        private final String id;
        private final ServerSocket server;
        private volatile long removedMillis = Long.MAX_VALUE;
        private volatile long partitionEndMillis;
        private final Set<Socket> serving = ConcurrentHashMap.newKeySet();

        private Worker(int number) throws Exception {
            id = "i-" + number;
            server = Http.serve("127.0.0.1", 0, this::work);
            store.put("servers", id, Json.write(Json.of(
                    "service", "desk",
                    "address", "127.0.0.1:" + server.getLocalPort(),
                    "zone", "z-a",
                    "version", "v1",
                    "slots", 6,
                    "state", "ready",
                    "coldRemainingMs", 0,
                    "seq", 0,
                    "born", 1_700_000_000_000L + number)));
        }

        private boolean work(Http.Message request, Socket socket, OutputStream out) throws Exception {
            String id = request.header("Firwheel-Attempt-Id");
            if (id == null) {
                Http.respond(out, 200, "Firwheel-Instance-Id: " + this.id + "\r\n", new byte[0]);
                return true;
            }
            long now = deployment.millis();
            long taken = Long.parseLong(id, 16); // requests carry the time at which the client sent them
            if (now - removedMillis > DRAIN_MILLIS && taken - partitionEndMillis > CONTACT_MILLIS) {
                late.incrementAndGet();
                deployment.log(this.id + " gets a request " + (now - removedMillis)
                        + " ms after its removal was acknowledged, sent " + (taken - partitionEndMillis)
                        + " ms after the partition");
            }
            runs.incrementAndGet();
            serving.add(socket);
            Thread.sleep(WORK_MILLIS);
            serving.remove(socket);
            Http.respond(out, 200, "Firwheel-Attempt-Id: " + id + "\r\nFirwheel-Response-Seal: 3e1b.07\r\n",
                    "done".getBytes(StandardCharsets.ISO_8859_1));
            return true;
        }
    }

    private static final int BROKEN = 10; // exit code; the JVM itself exits with 1 after an error
    private static Deployment deployment;
    private static Store store;
    private static int entryPort;
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger runs = new AtomicInteger();
    private static final AtomicInteger sent = new AtomicInteger();
    private static final AtomicInteger succeeded = new AtomicInteger();
    private static volatile boolean ended;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        deployment = new Deployment(Path.of(args[0]));
        store = new Store("127.0.0.1");
        Proxy path = new Proxy("127.0.0.1", "127.0.0.1", store.port());
        store.put("op", "config", Json.write(config()));
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            workers.add(new Worker(i));
        }
        entryPort = Deployment.freePort();
        int readyPort = Deployment.freePort();
        deployment.start("entry", "front-1", "z-a", "127.0.0.1", path.port(), Json.of(
                "callers", "127.0.0.1:" + entryPort, "readiness", "127.0.0.1:" + readyPort));
        if (!awaitReady(readyPort)) {
            System.exit(2);
        }
        Http.daemon(Removals::sendRequests);
        Thread.sleep(5_000);
        for (int cycle = 0; cycle < CYCLES; cycle++) {
            if (trouble) {
                deployment.log("partition from the store begins");
                path.partition();
            }
            Thread.sleep(CUT_MILLIS);
            if (trouble) {
                path.awaitClose(MAX_MORE_CUT_MILLIS);
            }
            path.heal();
            long end = deployment.millis();
            if (trouble) {
                deployment.log("partition ends");
            }
            Thread.sleep(REMOVED_AFTER_MILLIS);
            Worker leaving = workers.get(cycle);
            leaving.partitionEndMillis = trouble ? end : 0;
            store.remove("servers", leaving.id);
            leaving.removedMillis = deployment.millis();
            deployment.log("the store acknowledges that " + leaving.id + " is removed");
            workers.add(new Worker(cycle + 3));
            Http.daemon(() -> {
                Thread.sleep(LINGER_MILLIS);
                leaving.server.close();
                deployment.log(leaving.id + " ends with " + leaving.serving.size() + " requests at work");
                for (Socket socket : leaving.serving) {
                    socket.close();
                }
            });
            Thread.sleep(SETTLE_MILLIS);
        }
        ended = true;
        Thread.sleep(1_500);
        deployment.log("sent " + sent + ", run " + runs + ", answered with success " + succeeded + ", late " + late);
        boolean broken = late.get() > 0;
        deployment.log(broken ? "DRAIN is broken" : "the rule held");
        System.exit(broken ? BROKEN : 0);
    }

    private static Map<String, Object> config() {
        return Json.of(
                "version", 7,
                "routes", List.of(Json.of(
                        "name", "r-1", "host", "h.example", "prefix", "/u/", "kind", "unsafe",
                        "timeoutMs", 1_000, "targetLatencyMs", 194, "priority", 2, "service", "desk",
                        "maxAttempts", 1, "authExempt", false)),
                "services", List.of(Json.of(
                        "name", "desk", "healthPath", "/health", "maxConnections", 104, "protocol", "h1",
                        "tls", false)),
                "limits", Json.of(
                        "maxHeaderBytes", 16_384, "maxBodyBytes", 4_194_304, "headerTimeoutMs", 3_000,
                        "idleTimeoutMs", 15_000),
                "tenants", List.of(Json.of("name", "tenant-1", "apiKeys", List.of("key-1"), "priority", 1)));
    }

    private static boolean awaitReady(int port) throws InterruptedException {
        for (int i = 0; i < 200; i++) {
            Http.Message answer =
                    Http.call("127.0.0.1", port, "GET /readiness HTTP/1.1\r\nHost: ready\r\n", new byte[0], 1_000);
            if (answer != null && answer.status() == 200) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    private static void sendRequests() throws InterruptedException {
        while (!ended) {
            Http.daemon(Removals::request);
            Thread.sleep(REQUEST_INTERVAL_MILLIS);
        }
    }

    private static void request() {
        sent.incrementAndGet();
        Http.Message answer = Http.call(
                "127.0.0.1",
                entryPort,
                "POST /u/x HTTP/1.1\r\nHost: h.example\r\nFirwheel-Attempt-Id: "
                        + String.format("%016x", deployment.millis())
                        + "\r\nFirwheel-Deadline-Ms: 1000\r\nAuthorization: Token key-1\r\n",
                "booking".getBytes(StandardCharsets.ISO_8859_1),
                1_500);
        if (answer != null && answer.status() == 200) {
            succeeded.incrementAndGet();
        } else {
            deployment.log("a request is answered with " + (answer == null ? "nothing" : answer.firstLine()));
        }
    }
}
