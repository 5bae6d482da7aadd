package firwheel.proxy.server;

import firwheel.model.TimeSource;
import firwheel.proxy.targets.Target;
import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Pool of connections to targets, each used by one request at a time. Idle connections are closed before the target
 * would close them, so that no request is sent on a connection that the target is closing.
 */
public final class TargetConnectionPool {
    private static final Duration CONNECT_TIMEOUT =
            Duration.ofMillis(400); // below the 1 s after which TCP retransmits a lost SYN
    private static final Duration DEFAULT_IDLE_TIMEOUT =
            Duration.ofMillis(400); // a target that states no keep-alive time may close after a second
    private static final double KEEP_ALIVE_SHARE = 0.6; // leaves time for a request in transit
    private static final int MAX_IDLE_PER_TARGET = 8; // about as many requests as a target processes concurrently

    /**
     * A connection leased to one request.
     *
     * @param target target at the other end
     * @param connection the connection
     * @param reused whether it has carried earlier requests
     */
    record Lease(Target target, TargetConnection connection, boolean reused) {}

    /** Outcome of a new connection to a target. */
    enum Reachability {
        LISTENING,
        REFUSING,
        UNKNOWN
    }

    private record IdleConnection(TargetConnection connection, long expiresNanos) {}

    private final Vertx vertx;
    private final NetClient client;
    private final ProxyProtocol protocol;
    private final TimeSource time;
    private final Map<Target.Key, Deque<IdleConnection>> idleConnections = new HashMap<>();
    private final ExtraResponses extraResponses;
    private final MalformedResponses malformedResponses;
    private long openedCount;

    /** Creates an empty pool; must be called on the event loop that uses it. */
    TargetConnectionPool(Vertx vertx, TimeSource time, ProxyProtocol protocol) {
        this.vertx = vertx;
        this.time = time;
        this.protocol = protocol;
        extraResponses = new ExtraResponses(time);
        malformedResponses = new MalformedResponses(time);
        client = vertx.createNetClient(
                new NetClientOptions().setTcpNoDelay(true).setTcpKeepAlive(true).setConnectTimeout((int)
                        CONNECT_TIMEOUT.toMillis()));
    }

    /** Returns how many responses have arrived that belong to no request in progress. */
    public long extraResponseCount() {
        return extraResponses.count();
    }

    /** Returns how often targets have written bytes that are not one response. */
    public long malformedResponseCount() {
        return malformedResponses.count();
    }

    /** Records that a target has written bytes that are not one response; see {@link MalformedResponses}. */
    void onMalformedResponse(Lease lease, @Nullable String attemptId, int status, String violation) {
        malformedResponses.onMalformedResponse(lease.target(), attemptId, lease.reused(), status, violation);
    }

    /**
     * Records that a target has written a response to an earlier request once more. Others may follow on its other
     * connections, so these are closed, and for a time each request uses a connection of its own.
     *
     * @param respondedId attempt that it responds to, or null if it states none
     * @param expectedId attempt whose response was expected, or null if the connection was idle
     */
    void onExtraResponse(Target target, @Nullable String respondedId, @Nullable String expectedId) {
        extraResponses.onExtraResponse(target, respondedId, expectedId);
        closeIdleConnections(target);
    }

    /** Returns how many connections have been opened. */
    public long openedCount() {
        return openedCount;
    }

    /**
     * Leases a connection to the target; opens a new one if {@code forceNew} is set or none is idle. A connection
     * that has carried the attempt before is not used for it again: a late response to the earlier run states the same
     * identifier.
     */
    Future<Lease> acquire(Target target, @Nullable String attemptId, boolean forceNew) {
        IdleConnection idleConnection = forceNew ? null : takeIdle(target, attemptId);
        if (idleConnection != null) {
            return Future.succeededFuture(new Lease(target, idleConnection.connection(), true));
        }
        openedCount++;
        return client.connect(target.port(), target.ip())
                .map(socket -> new Lease(target, new TargetConnection(vertx, socket, protocol), false));
    }

    /** Returns whether the target still listens, by a new connection that is closed at once. */
    Future<Reachability> probe(Target target) {
        return acquire(target, null, true).transform(result -> {
            if (result.succeeded()) {
                result.result().connection().close();
                return Future.succeededFuture(Reachability.LISTENING);
            }
            return Future.succeededFuture(isRefused(result.cause()) ? Reachability.REFUSING : Reachability.UNKNOWN);
        });
    }

    /** Returns whether a connection failed because no process listens at the address. */
    static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    /** Returns a connection to the pool after its response has ended normally. */
    void release(Lease lease, ResponseHead head) {
        long idleMillis = head.keepAliveMillis() == 0
                ? DEFAULT_IDLE_TIMEOUT.toMillis()
                : (long) (head.keepAliveMillis() * KEEP_ALIVE_SHARE);
        Deque<IdleConnection> targetConnections =
                idleConnections.computeIfAbsent(lease.target().key(), key -> new ArrayDeque<>());
        if (head.closesConnection()
                || extraResponses.areLikely(lease.target())
                || targetConnections.size() >= MAX_IDLE_PER_TARGET) {
            lease.connection().close();
            return;
        }
        IdleConnection idleConnection =
                new IdleConnection(lease.connection(), time.monotonicNanos() + idleMillis * 1_000_000L);
        lease.connection().setIdleListener(new TargetConnection.IdleListener() {
            @Override
            public void onClosed() {
                targetConnections.remove(idleConnection);
            }

            @Override
            public void onExtraBytes() {
                targetConnections.remove(idleConnection);
                onExtraResponse(lease.target(), null, null);
            }
        });
        targetConnections.push(idleConnection);
    }

    /** Closes the idle connections to a target that is retired. */
    public void closeIdleConnections(Target target) {
        Deque<IdleConnection> targetConnections = idleConnections.remove(target.key());
        if (targetConnections != null) {
            targetConnections.forEach(
                    idleConnection -> idleConnection.connection().close());
        }
    }

    /** Closes connections whose idle timeout has expired. */
    public void closeExpired() {
        long now = time.monotonicNanos();
        for (Iterator<Deque<IdleConnection>> deques = idleConnections.values().iterator(); deques.hasNext(); ) {
            Deque<IdleConnection> targetConnections = deques.next();
            while (!targetConnections.isEmpty() && targetConnections.peekLast().expiresNanos() <= now) {
                targetConnections.pollLast().connection().close();
            }
            if (targetConnections.isEmpty()) {
                deques.remove();
            }
        }
    }

    private @Nullable IdleConnection takeIdle(Target target, @Nullable String attemptId) {
        Deque<IdleConnection> targetConnections = idleConnections.get(target.key());
        long now = time.monotonicNanos();
        while (targetConnections != null && !targetConnections.isEmpty()) {
            IdleConnection idleConnection = targetConnections.pop();
            boolean repeated = attemptId != null && idleConnection.connection().hasCarried(attemptId);
            if (idleConnection.expiresNanos() > now && !repeated) {
                idleConnection.connection().setIdleListener(null);
                return idleConnection;
            }
            idleConnection.connection().close();
        }
        return null;
    }
}
