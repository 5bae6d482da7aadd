package firwheel.rebalance;

import firwheel.mesh.AuthenticatedHttp;
import io.vertx.core.Vertx;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Passes the packed placement of a map on from agent to agent, since a controller that sent it to each rank of a large
 * group would fill its link. Each agent keeps the latest placement only. It travels compressed if the fetching agent
 * asks for that; older versions do not.
 */
final class PlacementRelay {
    static final String PATH = "/placement";

    private static final Duration FETCH_TIMEOUT =
            Duration.ofMillis(550); // less than that of an order, which includes the fetches of all sources before
    private static final Duration MAX_WAIT = Duration.ofMillis(500); // for a placement that is on its way
    private static final byte COMPRESSED = 1;
    private static final byte[] UNAVAILABLE = {};

    private record Waiting(long version, CompletableFuture<byte[]> placement) {}

    private final Vertx vertx;
    private final AuthenticatedHttp http;
    private final List<Waiting> waiting = new ArrayList<>();
    private long version = -1;
    private byte[] packed = {};

    PlacementRelay(Vertx vertx, AuthenticatedHttp http) {
        this.vertx = vertx;
        this.http = http;
        http.registerHandler(PATH, this::onRequest);
    }

    /** Keeps a placement for other agents unless a later version is known. */
    void offer(long offeredVersion, byte[] offered) {
        if (offeredVersion <= version) {
            return;
        }
        version = offeredVersion;
        packed = offered;
        completeWaiting(offeredVersion, offered);
    }

    /** Returns the placement of a version, from another agent unless it is known; fails if it does not come in time. */
    CompletableFuture<byte[]> fetch(String ip, long wantedVersion) {
        if (wantedVersion == version) {
            return CompletableFuture.completedFuture(packed);
        }
        byte[] request = ByteBuffer.allocate(Long.BYTES + Byte.BYTES)
                .putLong(wantedVersion)
                .put(COMPRESSED)
                .array();
        return http.call(ip, PATH, request, FETCH_TIMEOUT)
                .thenApply(reply -> {
                    byte[] fetched = CompressedPlacement.expand(reply);
                    if (fetched.length == 0) {
                        throw new IllegalStateException(
                                "agent " + ip + " has no placement of version " + wantedVersion);
                    }
                    offer(wantedVersion, fetched);
                    return fetched;
                })
                .whenComplete((fetched, error) -> {
                    if (error != null) {
                        completeWaiting(wantedVersion, UNAVAILABLE); // so that they try another source soon
                    }
                });
    }

    private CompletableFuture<byte[]> onRequest(byte[] content) {
        ByteBuffer request = ByteBuffer.wrap(content);
        CompletableFuture<byte[]> placement = await(request.getLong());
        boolean compressed = request.hasRemaining() && request.get() == COMPRESSED;
        return compressed ? placement.thenApply(CompressedPlacement::compress) : placement;
    }

    /** Returns the placement of a version, or no bytes if it does not arrive in time. */
    private CompletableFuture<byte[]> await(long wantedVersion) {
        if (wantedVersion == version) {
            return CompletableFuture.completedFuture(packed);
        }
        Waiting added = new Waiting(wantedVersion, new CompletableFuture<>());
        waiting.add(added);
        vertx.setTimer(MAX_WAIT.toMillis(), id -> {
            waiting.remove(added);
            added.placement().complete(UNAVAILABLE);
        });
        return added.placement();
    }

    private void completeWaiting(long completedVersion, byte[] placement) {
        for (Waiting each : List.copyOf(waiting)) {
            if (each.version() == completedVersion) {
                waiting.remove(each);
                each.placement().complete(placement);
            }
        }
    }
}
