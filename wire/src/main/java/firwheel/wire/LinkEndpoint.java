package firwheel.wire;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Opens and accepts links on behalf of one process. */
public final class LinkEndpoint {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final Vertx vertx;
    private final SharedKey key;
    private final LinkIdentity self;
    private final MessageCodec codec = new MessageCodec();
    private final NetClient client;
    private final AtomicLong refusedLinks = new AtomicLong();

    /** Creates an endpoint; call it on the event loop that will carry its links. */
    public LinkEndpoint(Vertx vertx, SharedKey key, LinkIdentity self) {
        this.vertx = vertx;
        this.key = key;
        this.self = self;
        client = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setTcpNoDelay(true));
    }

    /** Returns the identity that peers see. */
    public LinkIdentity self() {
        return self;
    }

    /** Returns how many connections failed authentication or sent a bad first frame. */
    public long refusedLinks() {
        return refusedLinks.get();
    }

    /** Connects to a peer; fails when it is unreachable or not authentic. */
    public CompletableFuture<Link> connect(String ip, int port) {
        return client.connect(port, ip)
                .toCompletionStage()
                .toCompletableFuture()
                .thenCompose(socket -> Link.establish(vertx, socket, codec, key, self, true));
    }

    /** Listens for peers; {@code accepted} is called on the event loop with each authenticated link. */
    public CompletableFuture<NetServer> listen(String ip, int port, Consumer<Link> accepted) {
        NetServer server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
        server.connectHandler(socket -> {
            var unused = Link.establish(vertx, socket, codec, key, self, false)
                    .whenComplete((link, error) -> onAccepted(link, accepted));
        });
        return server.listen(port, ip).toCompletionStage().toCompletableFuture();
    }

    private void onAccepted(@Nullable Link link, Consumer<Link> accepted) {
        if (link == null) {
            refusedLinks.incrementAndGet();
        } else {
            accepted.accept(link);
        }
    }
}
