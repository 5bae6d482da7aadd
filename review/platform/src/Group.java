import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** A lock-step group of model workers with expert maps, as PROTOCOL.md describes it. */
final class Group {
    private static final long NONE = -1;
    private static final int PASS_MILLIS = 12;
    private static final int EVENTS = 10;
    private static final int PICKS_PER_PASS = 600;

    /** Decides what happens to an order: whether it is carried out and answered at once, or left unanswered. */
    interface OrderFate {
        /** Returns whether the order is answered; called while the group is locked. */
        boolean isAnswered(Rank rank, String operation, Map<String, Object> order);
    }

    /** One rank. */
    final class Rank {
        final int number;
        final String ip;
        final int port;
        final String id;
        long version;
        int[][] experts;
        long highestVersion;
        long prepared = NONE;
        int[][] preparedExperts;
        long armed = NONE;
        long armedStep = NONE;
        long held = NONE;
        private long preparing = NONE;
        private long seq;
        private int running;
        private final long[] counts = new long[sets * expertCount];

        private Rank(int number, String ip) throws Exception {
            this.number = number;
            this.ip = ip;
            id = "i-" + number;
            experts = new int[sets][];
            for (int set = 0; set < sets; set++) {
                experts[set] = java.util.stream.IntStream.range(0, expertCount)
                        .filter(expert -> expert % size == number)
                        .toArray();
            }
            port = Http.serve(ip, 0, (request, socket, out) -> handle(this, request, socket, out)).getLocalPort();
        }

        Map<String, Object> registration(String service) {
            Map<String, Object> entry = Json.of(
                    "service", service,
                    "address", ip + ":" + port,
                    "zone", "z-a",
                    "version", "v1",
                    "slots", 8,
                    "state", "ready",
                    "coldRemainingMs", 0,
                    "stage", "prefill_decode",
                    "models", List.of(Json.of("name", "m", "version", 1, "adapters", List.of())),
                    "seq", seq,
                    "born", born);
            entry.put("group", membership(this));
            return entry;
        }

        @Override
        public String toString() {
            return "rank " + number + ": map " + version + ", prepared " + prepared + ", armed " + armed + " at step "
                    + armedStep + ", held " + held;
        }
    }

    final int size;
    final int sets;
    final int expertCount;
    final List<Rank> ranks = new ArrayList<>();
    private final Deployment deployment;
    private final int loadMillisPerExpert;
    private final long born = System.currentTimeMillis();
    private OrderFate fate = (rank, operation, order) -> true;
    private long step = 1;
    private int running;
    private int hotRank;
    private boolean mapsDiffered;
    int orders;
    int unanswered;

    Group(Deployment deployment, int size, int sets, int expertCount, int loadMillisPerExpert, String ipPrefix)
            throws Exception {
        this.deployment = deployment;
        this.size = size;
        this.sets = sets;
        this.expertCount = expertCount;
        this.loadMillisPerExpert = loadMillisPerExpert;
        for (int i = 0; i < size; i++) {
            ranks.add(new Rank(i, ipPrefix + (10 + i)));
        }
        Http.daemon(this::runPasses);
    }

    synchronized void setFate(OrderFate newFate) {
        fate = newFate;
    }

    /** From now on, requests choose mostly the experts that map 0 places on a rank. */
    synchronized void setDemand(int rank) {
        hotRank = rank;
    }

    synchronized long step() {
        return step;
    }

    synchronized long version() {
        return ranks.get(0).version;
    }

    synchronized boolean mapsDiffered() {
        return mapsDiffered;
    }

    private void runPasses() throws InterruptedException {
        while (true) {
            Thread.sleep(PASS_MILLIS);
            synchronized (this) {
                long next = step + 1;
                boolean held = ranks.stream().anyMatch(rank -> rank.held == next);
                if (running > 0 && !held) {
                    beginPass(next);
                    notifyAll();
                }
            }
        }
    }

    private void beginPass(long next) {
        step = next;
        for (Rank rank : ranks) {
            if (rank.armed != NONE && rank.armedStep == next) {
                rank.version = rank.armed;
                rank.experts = rank.preparedExperts;
                rank.armed = NONE;
                rank.armedStep = NONE;
                deployment.log("rank " + rank.number + " switches to map " + rank.version + " at step " + next);
            }
            if (rank.running > 0) {
                for (int set = 0; set < sets; set++) {
                    for (int expert = 0; expert < expertCount; expert++) {
                        boolean hot = expert % size == hotRank;
                        rank.counts[set * expertCount + expert] +=
                                hot ? 5 * PICKS_PER_PASS / expertCount : PICKS_PER_PASS / expertCount / 3;
                    }
                }
            }
        }
        boolean differ = ranks.stream().anyMatch(rank -> rank.version != ranks.get(0).version);
        if (differ && !mapsDiffered) {
            mapsDiffered = true;
            deployment.log("MAP: pass " + next + " begins with maps "
                    + ranks.stream().map(rank -> rank.version).toList());
            ranks.forEach(rank -> deployment.log(rank.toString()));
        }
    }

    private Map<String, Object> membership(Rank rank) {
        return Json.of("name", "g-1", "epoch", 1, "rank", rank.number, "state", "open");
    }

    private boolean handle(Rank rank, Http.Message request, Socket socket, OutputStream out) throws Exception {
        switch (request.path()) {
            case "/health" -> Http.respond(out, 200, "Firwheel-Instance-Id: " + rank.id + "\r\n", new byte[0]);
            case "/report" -> Http.respondJson(out, 200, report(rank));
            case "/picked" -> Http.respondJson(out, 200, picked(rank, request.query("lists") != null));
            case "/order" -> {
                return order(rank, Json.object(request.text()), socket, out);
            }
            default -> stream(rank, request, out);
        }
        return true;
    }

    private synchronized Map<String, Object> report(Rank rank) {
        Map<String, Object> report = Json.of(
                "stage", "prefill_decode",
                "models", List.of(Json.of("name", "m", "version", 1, "adapters", List.of())),
                "busy", rank.preparing != NONE,
                "seq", rank.seq,
                "waiting", 0,
                "running", rank.running,
                "kvUsed", 0,
                "kvTotal", 248_000,
                "handles", 0,
                "pace", 1,
                "size", size,
                "step", step,
                "born", born);
        report.put("group", membership(rank));
        report.put("map", Json.of("version", rank.version));
        report.put("prepared", rank.prepared == NONE ? null : Json.of("version", rank.prepared));
        report.put("armed", rank.armed == NONE ? null : Json.of("version", rank.armed, "step", rank.armedStep));
        report.put("held", rank.held == NONE ? null : rank.held);
        return report;
    }

    private synchronized Map<String, Object> picked(Rank rank, boolean lists) {
        if (!lists) {
            return Json.of("step", step, "epoch", 1, "counts", Arrays.stream(rank.counts).boxed().toList(), "born", born);
        }
        Map<String, Object> picked = Json.of("step", step, "epoch", 1, "born", born);
        picked.put("map", Json.of("version", rank.version, "experts", asLists(rank.experts)));
        if (rank.prepared != NONE) {
            picked.put("prepared", Json.of("version", rank.prepared, "experts", asLists(rank.preparedExperts)));
        }
        return picked;
    }

    private static List<Object> asLists(int[][] experts) {
        List<Object> lists = new ArrayList<>();
        for (int[] set : experts) {
            lists.add(Arrays.stream(set).boxed().toList());
        }
        return lists;
    }

    private boolean order(Rank rank, Map<String, Object> order, Socket socket, OutputStream out) throws Exception {
        int status;
        synchronized (this) {
            String operation = (String) order.get("operation");
            orders++;
            if (!fate.isAnswered(rank, operation, order)) {
                unanswered++;
                deployment.log("rank " + rank.number + " gets and does not answer " + brief(order));
                socket.setSoTimeout(15_000);
                return true;
            }
            status = carryOut(rank, order);
            deployment.log("rank " + rank.number + " answers " + status + " to " + brief(order));
        }
        Http.respondJson(out, status, Json.of());
        return true;
    }

    static String brief(Map<String, Object> order) {
        return order.get("operation") + (order.containsKey("version") ? " version " + order.get("version") : "")
                + (order.containsKey("step") ? " step " + order.get("step") : "");
    }

    /** Carries out an order, which may have arrived earlier, and returns the status of its answer. */
    synchronized int carryOut(Rank rank, Map<String, Object> order) {
        if (order.containsKey("epoch") && (Long) order.get("epoch") != 1) {
            return 409;
        }
        long version = order.containsKey("version") ? (Long) order.get("version") : NONE;
        long orderStep = order.containsKey("step") ? (Long) order.get("step") : NONE;
        int status =
                switch ((String) order.get("operation")) {
                    case "prepare" -> prepare(rank, version, placement(rank, order));
                    case "arm" -> arm(rank, version, orderStep);
                    case "disarm" -> disarm(rank, version);
                    case "hold" -> hold(rank, orderStep);
                    case "go" -> release(rank, orderStep);
                    default -> 400;
                };
        if (status == 202) {
            rank.seq++;
        }
        return status;
    }

    @SuppressWarnings("unchecked")
    private int[][] placement(Rank rank, Map<String, Object> order) {
        int[][] placement = new int[sets][];
        for (int set = 0; set < sets; set++) {
            List<Object> byRank = (List<Object>) ((List<Object>) order.get("map")).get(set);
            placement[set] = ((List<Object>) byRank.get(rank.number))
                    .stream().mapToInt(expert -> ((Long) expert).intValue()).toArray();
        }
        return placement;
    }

    private int prepare(Rank rank, long version, int[][] placement) {
        if (version <= rank.highestVersion || rank.armed != NONE) {
            return 409;
        }
        int loads = 0;
        for (int set = 0; set < sets; set++) {
            int[] present = rank.experts[set];
            loads += (int) Arrays.stream(placement[set])
                    .filter(expert -> Arrays.stream(present).noneMatch(old -> old == expert))
                    .count();
        }
        rank.highestVersion = version;
        rank.preparing = version;
        int millis = loads * loadMillisPerExpert;
        Http.daemon(() -> {
            Thread.sleep(millis);
            synchronized (this) {
                if (rank.preparing == version) {
                    rank.preparing = NONE;
                    rank.prepared = version;
                    rank.preparedExperts = placement;
                }
            }
        });
        return 202;
    }

    private int arm(Rank rank, long version, long atStep) {
        if (rank.armed == version && rank.armedStep == atStep) {
            return 200;
        }
        if (rank.prepared != version || rank.preparing != NONE || atStep <= step) {
            return 409;
        }
        rank.armed = version;
        rank.armedStep = atStep;
        return 202;
    }

    private int disarm(Rank rank, long version) {
        if (rank.version == version) {
            return 409;
        }
        if (rank.armed != version) {
            return 200;
        }
        rank.armed = NONE;
        rank.armedStep = NONE;
        return 202;
    }

    private int hold(Rank rank, long atStep) {
        if (rank.held == atStep) {
            return 200;
        }
        if (rank.held != NONE || atStep <= step) {
            return 409;
        }
        rank.held = atStep;
        return 202;
    }

    private int release(Rank rank, long atStep) {
        if (rank.held != atStep) {
            return 200;
        }
        rank.held = NONE;
        return 202;
    }

    private void stream(Rank rank, Http.Message request, OutputStream out) throws Exception {
        String attemptId = request.header("Firwheel-Attempt-Id");
        out.write(("HTTP/1.1 200 OK\r\nFirwheel-Attempt-Id: " + attemptId + "\r\nFirwheel-Response-Seal: 3e1b.07\r\n"
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        int first = request.header("Last-Event-Id") == null ? 1 : Integer.parseInt(request.header("Last-Event-Id")) + 1;
        synchronized (this) {
            rank.running++;
            running++;
        }
        try {
            for (int event = first; event <= EVENTS; event++) {
                synchronized (this) {
                    long before = step;
                    long deadline = System.nanoTime() + 8_000_000_000L;
                    while (step == before && System.nanoTime() < deadline) {
                        wait(100);
                    }
                }
                byte[] bytes = ("id: " + event + "\ndata: token\n\n").getBytes(StandardCharsets.ISO_8859_1);
                out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.write(bytes);
                out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        } finally {
            synchronized (this) {
                rank.running--;
                running--;
            }
        }
    }
}
