package firwheel.wire;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.Futures;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Opens and accepts the links of one process. */
public final class LinkEndpoint {
    private static final Logger logger = LoggerFactory.getLogger(LinkEndpoint.class);

    private final Vertx vertx;
    private final Context context;
    private final LinkSecurity security;
    private final LinkIdentity identity;
    private final LinkTimeouts timeouts;
    private final MessageCodec codec = new MessageCodec();
    private final NetClient client;
    private final AtomicLong refusedLinks = new AtomicLong();

    /** Creates an endpoint. Must be called on the event loop on which its links are to run. */
    public LinkEndpoint(Vertx vertx, LinkSecurity security, LinkIdentity identity) {
        this(vertx, security, identity, LinkTimeouts.DEFAULTS);
    }

    LinkEndpoint(Vertx vertx, LinkSecurity security, LinkIdentity identity, LinkTimeouts timeouts) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.security = security;
        this.identity = identity;
        this.timeouts = timeouts;
        client = vertx.createNetClient(LinkSocketOptions.clientOptions(security.tls()));
    }

    /** Returns the identity that this process presents to peers. */
    public LinkIdentity identity() {
        return identity;
    }

    /** Returns the number of connections closed because the peer failed authentication or sent a malformed frame. */
    public long refusedLinks() {
        return refusedLinks.get();
    }

    /** Connects to a peer. The future fails if the peer is unreachable or fails authentication. */
    public CompletableFuture<Link> connect(String ip, int port) {
        CompletableFuture<Link> result = new CompletableFuture<>();
        context.runOnContext(ignored -> Futures.forward(connectOnEventLoop(ip, port), result));
        return result;
    }

    /** Must run on the event loop of the links; elsewhere the first frame can arrive before its handler is set. */
    private CompletableFuture<Link> connectOnEventLoop(String ip, int port) {
        return client.connect(port, ip)
                .toCompletionStage()
                .toCompletableFuture()
                .thenCompose(socket -> establish(socket, true));
    }

    /** Listens for peers. {@code onAuthenticated} is called on the event loop with each authenticated link. */
    public CompletableFuture<NetServer> listen(String ip, int port, Consumer<Link> onAuthenticated) {
        NetServer server = vertx.createNetServer(LinkSocketOptions.serverOptions(security.tls()));
        server.connectHandler(socket -> {
            var unused = establish(socket, false).thenAccept(onAuthenticated);
        });
        server.exceptionHandler(this::onTlsFailure);
        return server.listen(port, ip).toCompletionStage().toCompletableFuture();
    }

    private CompletableFuture<Link> establish(NetSocket socket, boolean initiator) {
        Handshake handshake = new Handshake(security.key(), identity, initiator);
        return Link.establish(vertx, socket, codec, handshake, timeouts, refusedLinks::incrementAndGet);
    }

    private void onTlsFailure(Throwable error) {
        refusedLinks.incrementAndGet();
        Events.log(logger, EventCode.LINK_REFUSED, "reason", "TLS: " + error.getMessage());
    }
}
