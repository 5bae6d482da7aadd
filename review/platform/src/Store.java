import java.io.OutputStream;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, of form "table", as PROTOCOL.md describes it. */
final class Store {
    private record Key(String table, String part, String key) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int byTable = table.compareTo(other.table);
            int byPart = part.compareTo(other.part);
            return byTable != 0 ? byTable : byPart != 0 ? byPart : key.compareTo(other.key);
        }
    }

    private record Row(Key key, String value, long ver) {
        Map<String, Object> json() {
            Map<String, Object> json =
                    Json.of("table", key.table(), "part", key.part(), "key", key.key(), "ver", ver);
            if (value == null) {
                json.put("removed", true);
            } else {
                json.put("value", value);
            }
            return json;
        }
    }

    private final TreeMap<Key, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private long ver = 100;
    private final long startNanos = System.nanoTime();
    final ServerSocket server;

    Store(String ip) throws Exception {
        server = Http.serve(ip, 0, (request, socket, out) -> {
            handle(request, out);
            return true;
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private long nowMillis() {
        return 50_000 + (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized long put(String table, String key, String json) {
        ver++;
        apply(new Key(table, "", key), Base64.getEncoder().encodeToString(json.getBytes()));
        notifyAll();
        return ver;
    }

    synchronized long remove(String table, String key) {
        ver++;
        apply(new Key(table, "", key), null);
        notifyAll();
        return ver;
    }

    private void apply(Key key, String value) {
        Row row = new Row(key, value, ver);
        if (value == null) {
            rows.remove(key);
        } else {
            rows.put(key, row);
        }
        history.add(row);
    }

    private void handle(Http.Message request, OutputStream out) throws Exception {
        Object answer;
        int status = 200;
        synchronized (this) {
            switch (request.path()) {
                case "/rows-get" -> answer = get(request);
                case "/rows-feed" -> answer = feed(request);
                case "/rows-tx" -> {
                    answer = transact(Json.object(request.text()));
                    status = ((Map<?, ?>) answer).containsKey("rows") ? 412 : 200;
                }
                default -> {
                    answer = Json.of();
                    status = 404;
                }
            }
        }
        Http.respondJson(out, status, answer);
    }

    private Object get(Http.Message request) {
        List<Object> found = new ArrayList<>();
        String part = request.query("part") == null ? "" : request.query("part");
        for (Row row : rows.values()) {
            if (row.key().table().equals(request.query("table"))
                    && row.key().part().equals(part)
                    && (request.query("from") == null || row.key().key().compareTo(request.query("from")) >= 0)) {
                found.add(row.json());
            }
        }
        return Json.of("rows", found, "truncated", false, "ver", ver, "nowMs", nowMillis());
    }

    private Object feed(Http.Message request) throws InterruptedException {
        long after = Long.parseLong(request.query("after"));
        long deadline = System.nanoTime() + Long.parseLong(request.query("waitMs")) * 1_000_000;
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Row row : history) {
                if (row.ver() > after && row.key().table().equals(request.query("table"))) {
                    found.add(row.json());
                }
            }
            long left = (deadline - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                return Json.of("rows", found, "ver", ver, "nowMs", nowMillis());
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private Object transact(Map<String, Object> call) {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object each : (List<Object>) call.getOrDefault("expectedRevision", List.of())) {
            Map<String, Object> condition = (Map<String, Object>) each;
            Row row = rows.get(key(condition));
            holds &= (row == null ? 0 : row.ver()) == (Long) condition.get("ver");
            if (row != null) {
                current.add(row.json());
            }
        }
        if (!holds) {
            return Json.of("rows", current, "ver", ver, "nowMs", nowMillis());
        }
        ver++;
        for (Object each : (List<Object>) call.getOrDefault("writes", List.of())) {
            Map<String, Object> write = (Map<String, Object>) each;
            apply(key(write), (String) write.get("value"));
        }
        for (Object each : (List<Object>) call.getOrDefault("drop", List.of())) {
            apply(key((Map<String, Object>) each), null);
        }
        notifyAll();
        return Json.of("ver", ver, "nowMs", nowMillis());
    }

    private static Key key(Map<String, Object> row) {
        return new Key((String) row.get("table"), (String) row.getOrDefault("part", ""), (String) row.get("key"));
    }
}
