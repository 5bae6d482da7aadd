package firwheel.entry;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stands between an entry and an agent and cuts their links when told to. */
final class LinkProxy {
    private static final String LOOPBACK = "127.0.0.1";

    private final Vertx vertx;
    private final int agentPort;
    private final Set<NetSocket> sockets = ConcurrentHashMap.newKeySet();
    private final NetServer server;

    LinkProxy(Vertx vertx, int agentPort) {
        this.vertx = vertx;
        this.agentPort = agentPort;
        server = vertx.createNetServer()
                .connectHandler(this::accept)
                .listen(0, LOOPBACK)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    int port() {
        return server.actualPort();
    }

    /** Closes all links; new ones are taken. */
    void cut() {
        sockets.forEach(NetSocket::close);
    }

    private void accept(NetSocket near) {
        near.pause();
        vertx.createNetClient()
                .connect(agentPort, LOOPBACK)
                .onSuccess(far -> join(near, far))
                .onFailure(e -> near.close());
    }

    private void join(NetSocket near, NetSocket far) {
        sockets.add(near);
        sockets.add(far);
        near.handler(far::write);
        far.handler(near::write);
        near.closeHandler(ignored -> far.close());
        far.closeHandler(ignored -> near.close());
        near.resume();
    }
}
