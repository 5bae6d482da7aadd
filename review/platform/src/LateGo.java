import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * An entry, and a group of four ranks with an agent each. For twice six seconds while the group is idle, the orders of one rank to arm and
 * every other order to end a hold get no answer and are carried out 2 to 12 seconds later, as it happens. Does each pass
 * still begin with the same map on all ranks?
 */
public final class LateGo {
    private static final int RANKS = 4;
    private static final int SETS = 2;
    private static final int EXPERTS = 16;
    private static final double LATE_SHARE = 0.5;
    private static final int MIN_LATE_MILLIS = 2_000;
    private static final int MAX_LATE_MILLIS = 12_000;
    private static final int DISRUPTION_MILLIS = 6_000;
    private static final int DISRUPTIONS = 2; // one after the other
    private static final int IDLE_MILLIS = 40_000;

    private static final Random random = new Random(1);
    private static final int BROKEN = 10; // exit code; the JVM itself exits with 1 after an error
    private static Deployment deployment;
    private static Group group;
    private static String entryIp;
    private static int entryPort;
    private static int ids;
    private static int releases;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        deployment = new Deployment(Path.of(args[0]));
        String prefix = "127.0." + (20 + ProcessHandle.current().pid() % 200) + ".";
        entryIp = prefix + "2";
        Store store = new Store("127.0.0.1");
        group = new Group(deployment, RANKS, SETS, EXPERTS, 35, prefix);
        store.put("op", "config", Json.write(config()));
        for (Group.Rank rank : group.ranks) {
            store.put("servers", rank.id, Json.write(rank.registration("scribe")));
        }
        entryPort = Deployment.freePort();
        int readyPort = Deployment.freePort();
        deployment.start("entry", "front-1", "z-a", entryIp, store.port(), Json.of(
                "callers", entryIp + ":" + entryPort, "readiness", entryIp + ":" + readyPort));
        for (Group.Rank rank : group.ranks) {
            deployment.start("agent", "side-" + rank.number, "z-a", rank.ip, store.port(), Json.of(
                    "localTarget", rank.ip + ":" + rank.port, "localService", "scribe"));
        }
        if (!awaitReady(entryIp, readyPort)) {
            System.exit(2);
        }
        Thread.sleep(5_000);
        deployment.log("requests choose mostly experts of rank 0");
        group.setDemand(0);
        long end = deployment.millis() + 5_000;
        while (deployment.millis() < end) {
            request();
        }
        if (group.version() == 0) {
            deployment.log("no change of the map was rolled out");
            deployment.logOutput("side-0");
            System.exit(2);
        }
        if (trouble) {
            group.setFate(LateGo::isAnswered);
            deployment.log("orders are left unanswered from now on");
            Http.daemon(() -> {
                Thread.sleep(DISRUPTIONS * DISRUPTION_MILLIS);
                group.setFate((rank, operation, order) -> true);
                deployment.log("orders are answered again");
            });
        }
        // The last requests have another demand, for which another map is planned. Then the group is idle.
        group.setDemand(1);
        for (int i = 0; i < 3; i++) {
            request();
        }
        deployment.log("the group is idle from step " + group.step());
        Thread.sleep(IDLE_MILLIS);
        deployment.log("orders " + group.orders + ", of them without an answer " + group.unanswered);
        group.setFate((rank, operation, order) -> true);
        for (int i = 0; i < 3; i++) {
            request();
        }
        // Is the difference repaired?
        Thread.sleep(10_000);
        request();
        synchronized (group) {
            group.ranks.forEach(rank -> deployment.log("at the end, " + rank));
        }
        boolean broken = group.mapsDiffered();
        deployment.log(broken ? "MAP is broken" : "the rule held");
        System.exit(broken ? BROKEN : 0);
    }

    /** Leaves a share of the orders unanswered and carries them out late. */
    private static boolean isAnswered(Group.Rank rank, String operation, Map<String, Object> order) {
        boolean late = (operation.equals("arm") && rank.number == 0)
                || (operation.equals("go") && rank.number == RANKS - 1 && releases++ % 2 == 0);
        if (!late || group.unanswered + 1 > LATE_SHARE * group.orders) {
            return true;
        }
        int millis = MIN_LATE_MILLIS + random.nextInt(MAX_LATE_MILLIS - MIN_LATE_MILLIS);
        Http.daemon(() -> {
            Thread.sleep(millis);
            int status = group.carryOut(rank, order);
            deployment.log(
                    "rank " + rank.number + " carries out " + Group.brief(order) + " " + millis + " ms late: " + status);
        });
        return false;
    }

    private static Map<String, Object> config() {
        return Json.of(
                "version", 7,
                "routes", List.of(Json.of(
                        "name", "r-1", "host", "h.example", "prefix", "/t/", "kind", "streaming",
                        "timeoutMs", 8_000, "targetLatencyMs", 401, "priority", 1, "service", "scribe",
                        "maxAttempts", 2, "authExempt", false, "sticky", true, "resumable", true,
                        "gapAimMs", 120)),
                "services", List.of(Json.of(
                        "name", "scribe", "healthPath", "/health", "maxConnections", 386, "protocol", "h1",
                        "tls", false,
                        "engine", Json.of(
                                "slots", 8, "kvCapacityTokens", 248_000, "linkMbps", 180_000.0, "stride", 5,
                                "step_ms", 5.85, "per_seq_ms", 0.53, "context_per_k", 0.054,
                                "read_per_s", 61_200.0, "pairs_per_m", 0.325, "chunk", 512,
                                "report_lag_ms", 200.0, "usual", Json.of("prompt", 835, "answer", 139),
                                "sets", SETS, "experts", EXPERTS, "places", 6, "spare", 2,
                                "expertMb", 780.0, "expertShare", 0.85, "form_ms", 600.0))),
                "limits", Json.of(
                        "maxHeaderBytes", 16_384, "maxBodyBytes", 4_194_304, "headerTimeoutMs", 3_000,
                        "idleTimeoutMs", 15_000),
                "tenants", List.of(Json.of("name", "tenant-1", "apiKeys", List.of("key-1"), "priority", 1)));
    }

    private static boolean awaitReady(String ip, int port) throws InterruptedException {
        for (int i = 0; i < 200; i++) {
            Http.Message answer =
                    Http.call(ip, port, "GET /readiness HTTP/1.1\r\nHost: ready\r\n", new byte[0], 1_000);
            if (answer != null && answer.status() == 200) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    private static void request() {
        String id = String.format("%016x", ++ids);
        Http.Message answer = Http.call(
                entryIp,
                entryPort,
                "POST /t/x HTTP/1.1\r\nHost: h.example\r\nFirwheel-Attempt-Id: " + id
                        + "\r\nFirwheel-Model: m\r\nFirwheel-Token-Count: 100,50\r\nFirwheel-Prompt-Prefix: 5c1e07a2:100"
                        + "\r\nFirwheel-Deadline-Ms: 8000\r\nAuthorization: Token key-1\r\n",
                "prompt".getBytes(),
                9_000);
        deployment.log("request " + id + ": " + (answer == null ? "no answer" : answer.firstLine()));
    }
}
