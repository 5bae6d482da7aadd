package firwheel.entry;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** TCP proxy between an entry and an agent that can close the links between them to simulate a network fault. */
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

    /** Closes all links; new connections are still accepted. */
    void closeLinks() {
        sockets.forEach(NetSocket::close);
    }

    private void accept(NetSocket entrySocket) {
        entrySocket.pause();
        vertx.createNetClient()
                .connect(agentPort, LOOPBACK)
                .onSuccess(agentSocket -> forward(entrySocket, agentSocket))
                .onFailure(e -> entrySocket.close());
    }

    private void forward(NetSocket entrySocket, NetSocket agentSocket) {
        sockets.add(entrySocket);
        sockets.add(agentSocket);
        entrySocket.handler(agentSocket::write);
        agentSocket.handler(entrySocket::write);
        entrySocket.closeHandler(ignored -> agentSocket.close());
        agentSocket.closeHandler(ignored -> entrySocket.close());
        entrySocket.resume();
    }
}
