package firwheel.proxy.server;

import firwheel.model.TimeSource;
import firwheel.proxy.targets.Target;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpVersion;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Connections to targets, each for one request at a time. An idle connection is closed before the target would close it,
 * so that no request crosses that close.
 */
public final class TargetConnections {
    private static final Duration CONNECT_TIMEOUT =
            Duration.ofMillis(400); // a lost first packet is sent again after 1 s
    private static final Duration IDLE_WITHOUT_STATEMENT =
            Duration.ofMillis(400); // a target that states no time may close within a second
    private static final double USED_SHARE_OF_KEEP_ALIVE = 0.6; // leaves time for a request on its way
    private static final int MAX_IDLE_PER_TARGET = 8; // a target computes about as many at once

    /** A connection that is lent to one request. */
    record Lent(Target target, HttpClientConnection connection, boolean reused) {}

    private record Idle(HttpClientConnection connection, long untilNanos) {}

    private final HttpClientAgent client;
    private final TimeSource time;
    private final Map<Target.Key, Deque<Idle>> idle = new HashMap<>();
    private long opened;

    /** Creates an empty pool; call it on the event loop that will use it. */
    public TargetConnections(Vertx vertx, TimeSource time) {
        this.time = time;
        client = vertx.createHttpClient(new HttpClientOptions()
                .setProtocolVersion(HttpVersion.HTTP_1_1)
                .setKeepAlive(true)
                .setPipelining(false)
                .setTcpNoDelay(true)
                .setTcpKeepAlive(true)
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()));
    }

    /** Returns how many connections were opened. */
    public long opened() {
        return opened;
    }

    /** Lends a connection to the target, a new one where {@code fresh} asks for it or none is idle. */
    Future<Lent> acquire(Target target, boolean fresh) {
        Idle kept = fresh ? null : takeIdle(target);
        if (kept != null) {
            return Future.succeededFuture(new Lent(target, kept.connection(), true));
        }
        opened++;
        HttpConnectOptions options = new HttpConnectOptions()
                .setHost(target.ip())
                .setPort(target.port())
                .setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        return client.connect(options).map(connection -> new Lent(target, connection, false));
    }

    /** Takes a connection back whose answer has ended in order. */
    void release(Lent lent, ResponseHead head) {
        long idleMillis = head.keepAliveMillis() == 0
                ? IDLE_WITHOUT_STATEMENT.toMillis()
                : (long) (head.keepAliveMillis() * USED_SHARE_OF_KEEP_ALIVE);
        Deque<Idle> kept = idle.computeIfAbsent(lent.target().key(), key -> new ArrayDeque<>());
        if (head.closesConnection() || kept.size() >= MAX_IDLE_PER_TARGET) {
            close(lent.connection());
            return;
        }
        Idle entry = new Idle(lent.connection(), time.monotonicNanos() + idleMillis * 1_000_000L);
        lent.connection().closeHandler(ignored -> kept.remove(entry));
        kept.push(entry);
    }

    /** Closes the idle connections to a target that is gone. */
    public void closeIdle(Target target) {
        Deque<Idle> kept = idle.remove(target.key());
        if (kept != null) {
            kept.forEach(entry -> close(entry.connection()));
        }
    }

    /** Closes connections that have been idle for too long. */
    public void closeExpired() {
        long now = time.monotonicNanos();
        for (Iterator<Deque<Idle>> deques = idle.values().iterator(); deques.hasNext(); ) {
            Deque<Idle> kept = deques.next();
            while (!kept.isEmpty() && kept.peekLast().untilNanos() <= now) {
                close(kept.pollLast().connection());
            }
            if (kept.isEmpty()) {
                deques.remove();
            }
        }
    }

    private @Nullable Idle takeIdle(Target target) {
        Deque<Idle> kept = idle.get(target.key());
        long now = time.monotonicNanos();
        while (kept != null && !kept.isEmpty()) {
            Idle entry = kept.pop();
            if (entry.untilNanos() > now) {
                entry.connection().closeHandler(null);
                return entry;
            }
            close(entry.connection());
        }
        return null;
    }

    static void close(HttpClientConnection connection) {
        var unused = connection.close();
    }
}
