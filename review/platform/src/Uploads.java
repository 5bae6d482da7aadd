import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One entry, one worker and clients that send bodies of the largest size that the configuration allows. With a burst of
 * 1.7 times as many of them, is each request still answered within its route's timeout?
 */
public final class Uploads {
    private static final int BODY_BYTES = 4_194_304; // maxBodyBytes
    private static final int USUAL_UPLOADS = 14;
    private static final double BURST = 1.7;
    private static final int UPLOAD_MILLIS = 3_000;
    private static final int UPLOAD_TIMEOUT_MILLIS = 8_000;
    private static final int SMALL_TIMEOUT_MILLIS = 1_000;
    private static final int SLACK_MILLIS = 500;
    private static final int SMALL_REQUESTS = 150;
    private static final int SMALL_INTERVAL_MILLIS = 100;

    private static final int BROKEN = 10; // exit code; the JVM itself exits with 1 after an error
    private static Deployment deployment;
    private static int entryPort;
    private static final AtomicInteger ids = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private static final AtomicInteger unansweredLater = new AtomicInteger();
    private static final AtomicInteger closed = new AtomicInteger();
    private static final Map<String, Integer> runs = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        deployment = new Deployment(Path.of(args[0]));
        Store store = new Store("127.0.0.1");
        ServerSocket worker = Http.serve("127.0.0.1", 0, Uploads::work);
        store.put("op", "config", Json.write(config()));
        store.put("servers", "i-1", Json.write(Json.of(
                "service", "desk",
                "address", "127.0.0.1:" + worker.getLocalPort(),
                "zone", "z-a",
                "version", "v1",
                "slots", 64,
                "state", "ready",
                "coldRemainingMs", 0,
                "seq", 1,
                "born", 1_700_000_000_000L)));
        entryPort = Deployment.freePort();
        int readyPort = Deployment.freePort();
        Process entry = deployment.start("entry", "front-1", "z-a", "127.0.0.1", store.port(), Json.of(
                "callers", "127.0.0.1:" + entryPort, "readiness", "127.0.0.1:" + readyPort));
        if (!awaitReady(readyPort)) {
            deployment.log("the entry does not become ready");
            System.exit(2);
        }
        int uploads = trouble ? (int) Math.ceil(USUAL_UPLOADS * BURST) : USUAL_UPLOADS;
        deployment.log(uploads + " clients send " + BODY_BYTES + " bytes each over " + UPLOAD_MILLIS + " ms; "
                + SMALL_REQUESTS + " small requests beside them");
        CountDownLatch done = new CountDownLatch(uploads + SMALL_REQUESTS);
        for (int i = 0; i < uploads; i++) {
            Http.daemon(() -> request("upload", "/upload/x", BODY_BYTES, UPLOAD_MILLIS, UPLOAD_TIMEOUT_MILLIS, done));
        }
        for (int i = 0; i < SMALL_REQUESTS; i++) {
            Http.daemon(() -> request("small", "/small/x", 600, 0, SMALL_TIMEOUT_MILLIS, done));
            Thread.sleep(SMALL_INTERVAL_MILLIS);
        }
        done.await();
        // All clients have left: does the entry serve again?
        Thread.sleep(5_000);
        int before = answered.get();
        CountDownLatch last = new CountDownLatch(1);
        request("late", "/small/x", 600, 0, SMALL_TIMEOUT_MILLIS, last);
        Http.Message ready = ready(readyPort);
        deployment.log("5 s after all clients have left: a small request is "
                + (answered.get() > before ? "answered" : "not answered") + ", readiness "
                + (ready == null ? "no answer" : ready.firstLine()) + ", process alive: " + entry.isAlive());
        deployment.log("answered " + answered + ", run " + runs.size() + ", closed without an answer " + closed
                + ", unanswered at the timeout " + unansweredAtTimeout + ", still half a second later "
                + unansweredLater);
        boolean broken = unansweredAtTimeout.get() >= 8 && 2 * unansweredLater.get() > unansweredAtTimeout.get();
        deployment.log(broken ? "CONFIG is broken" : "the rule held");
        System.exit(broken ? BROKEN : 0);
    }

    private static Map<String, Object> config() {
        return Json.of(
                "version", 7,
                "routes", List.of(route("upload", UPLOAD_TIMEOUT_MILLIS), route("small", SMALL_TIMEOUT_MILLIS)),
                "services", List.of(Json.of(
                        "name", "desk", "healthPath", "/health", "maxConnections", 104, "protocol", "h1",
                        "tls", false)),
                "limits", Json.of(
                        "maxHeaderBytes", 16_384,
                        "maxBodyBytes", BODY_BYTES,
                        "headerTimeoutMs", 3_000,
                        "idleTimeoutMs", 15_000),
                "tenants", List.of(Json.of("name", "tenant-1", "apiKeys", List.of("key-1"), "priority", 1)));
    }

    private static Map<String, Object> route(String name, int timeoutMillis) {
        return Json.of(
                "name", name, "host", "h.example", "prefix", "/" + name + "/", "kind", "unsafe",
                "timeoutMs", timeoutMillis, "targetLatencyMs", 400, "priority", 1, "service", "desk",
                "maxAttempts", 1, "authExempt", false);
    }

    private static boolean work(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String id = request.header("Firwheel-Attempt-Id");
        runs.merge(id, 1, Integer::sum);
        Thread.sleep(30);
        Http.respond(out, 200, "Firwheel-Attempt-Id: " + id + "\r\nFirwheel-Response-Seal: 3e1b.07\r\n",
                ("received " + request.body().length).getBytes(StandardCharsets.ISO_8859_1));
        return true;
    }

    private static Http.Message ready(int port) {
        return Http.call("127.0.0.1", port, "GET /readiness HTTP/1.1\r\nHost: ready\r\n", new byte[0], 1_000);
    }

    private static boolean awaitReady(int port) throws InterruptedException {
        for (int i = 0; i < 200; i++) {
            Http.Message answer = ready(port);
            if (answer != null && answer.status() == 200) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Sends a request, and waits for its answer until half a second after the route's timeout, and no longer. */
    private static void request(
            String kind, String path, int bodyBytes, int sendMillis, int timeoutMillis, CountDownLatch done) {
        String id = String.format("%016x", ids.incrementAndGet());
        long start = deployment.millis();
        String outcome = "closed";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", entryPort), 1_000);
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            out.write(("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nFirwheel-Attempt-Id: " + id
                            + "\r\nFirwheel-Deadline-Ms: " + (timeoutMillis + 1_000)
                            + "\r\nAuthorization: Token key-1\r\nContent-Length: " + bodyBytes + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            // A client that is not read from is still waiting, so writing must not hold this thread up.
            Http.daemon(() -> {
                int chunks = sendMillis == 0 ? 1 : 64;
                byte[] chunk = new byte[bodyBytes / chunks];
                for (int i = 0; i < chunks; i++) {
                    out.write(chunk);
                    Thread.sleep(sendMillis / chunks);
                }
                out.write(new byte[bodyBytes % chunks]);
            });
            socket.setSoTimeout(timeoutMillis);
            try {
                int first = waitForFirstByte(socket);
                outcome = first < 0 ? "closed" : "answered";
            } catch (java.net.SocketTimeoutException e) {
                unansweredAtTimeout.incrementAndGet();
                socket.setSoTimeout(SLACK_MILLIS);
                try {
                    outcome = waitForFirstByte(socket) < 0 ? "closed" : "answered late";
                } catch (java.net.SocketTimeoutException e2) {
                    unansweredLater.incrementAndGet();
                    outcome = "unanswered";
                }
            }
        } catch (Exception e) {
            outcome = "closed (" + e.getMessage() + ")";
        }
        if (outcome.startsWith("answered")) {
            answered.incrementAndGet();
        } else if (outcome.startsWith("closed")) {
            closed.incrementAndGet();
        }
        deployment.log(kind + " " + id + " " + outcome + " after " + (deployment.millis() - start) + " ms");
        done.countDown();
    }

    private static int waitForFirstByte(Socket socket) throws Exception {
        byte[] buffer = new byte[4_096];
        return socket.getInputStream().read(buffer);
    }
}
