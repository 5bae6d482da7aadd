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
 * group would fill its link. Each agent keeps the latest placement only.
 */
final class PlacementRelay {
    static final String PATH = "/placement";

    private static final Duration MAX_WAIT = Duration.ofMillis(200); // for a placement that is on its way
    private static final Duration FETCH_TIMEOUT = Duration.ofMillis(300);

    private record Waiting(long version, CompletableFuture<byte[]> reply) {}

    private final Vertx vertx;
    private final AuthenticatedHttp http;
    private final List<Waiting> waiting = new ArrayList<>();
    private long version = -1;
    private byte[] packed = {};

    PlacementRelay(Vertx vertx, AuthenticatedHttp http) {
        this.vertx = vertx;
        this.http = http;
        http.registerHandler(PATH, content -> await(ByteBuffer.wrap(content).getLong()));
    }

    /** Keeps a placement for other agents unless a later version is known. */
    void offer(long offeredVersion, byte[] offered) {
        if (offeredVersion <= version) {
            return;
        }
        version = offeredVersion;
        packed = offered;
        for (Waiting each : List.copyOf(waiting)) {
            if (each.version() == version) {
                waiting.remove(each);
                each.reply().complete(packed);
            }
        }
    }

    /** Fetches the placement of a version from another agent; fails if that does not get it in time. */
    CompletableFuture<byte[]> fetch(String ip, long wantedVersion) {
        byte[] request = ByteBuffer.allocate(Long.BYTES).putLong(wantedVersion).array();
        return http.call(ip, PATH, request, FETCH_TIMEOUT).thenApply(fetched -> {
            if (fetched.length == 0) {
                throw new IllegalStateException("agent " + ip + " has no placement of version " + wantedVersion);
            }
            offer(wantedVersion, fetched);
            return fetched;
        });
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
            added.reply().complete(new byte[0]);
        });
        return added.reply();
    }
}
