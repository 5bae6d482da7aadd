package firwheel.proxy.server;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpServerConnection;
import java.time.Duration;

/** A connection of a client: how many requests are open on it, since when it is idle, and how it is closed. */
final class ClientConnection {
    private static final Duration LINGER = Duration.ofSeconds(1);

    private final Vertx vertx;
    private final HttpConnection connection;
    private final ClientInput input;
    private final StrictRequestDecoder decoder;
    private boolean lastResponseBegun;
    private boolean lingering;
    private int openRequests;
    private long idleSinceNanos;

    ClientConnection(
            Vertx vertx, HttpConnection connection, ClientInput input, StrictRequestDecoder decoder, long nowNanos) {
        this.vertx = vertx;
        this.connection = connection;
        this.input = input;
        this.decoder = decoder;
        idleSinceNanos = nowNanos;
    }

    void onRequest() {
        openRequests++;
    }

    void onRequestEnd() {
        openRequests--;
        decoder.onRequestEnd();
    }

    /** Returns whether a request head has not been complete within {@code nanos} since its first byte. */
    boolean isHeadOverdue(long nowNanos, long nanos) {
        return input.isHeadOverdue(nowNanos, nanos);
    }

    /** Records that the connection is closed. */
    void onClosed() {
        input.close();
    }

    void setIdleSince(long nowNanos) {
        idleSinceNanos = nowNanos;
    }

    /** Returns whether the connection has carried no request for at least {@code idleNanos}. */
    boolean isIdle(long nowNanos, long idleNanos) {
        return openRequests == 0 && !lingering && nowNanos - idleSinceNanos >= idleNanos;
    }

    /** Records that no request is taken behind the current one, whose response announces the close. */
    void onLastResponse() {
        lastResponseBegun = true;
    }

    boolean takesRequests() {
        return !lastResponseBegun;
    }

    /** Returns whether the last response was written and the client may not have received it. */
    boolean isLingering() {
        return lingering;
    }

    /** Closes the connection at once. Bytes that were not read reset it. */
    void close() {
        var unused = connection.close();
    }

    /**
     * Closes the connection after its last response was written. Ends the output and discards what the client still sends:
     * unread bytes would reset the connection, and the client would lose what it has not read of the response.
     */
    void closeAfterLastResponse() {
        if (lingering) {
            return;
        }
        lingering = true;
        Channel channel =
                ((HttpServerConnection) connection).channelHandlerContext().channel();
        channel.pipeline().addFirst("discard", new DiscardHandler());
        channel.config().setAutoRead(true);
        if (channel instanceof DuplexChannel duplex) {
            var unused = duplex.shutdownOutput();
        }
        vertx.setTimer(LINGER.toMillis(), id -> {
            var unused = channel.close();
        });
    }

    private static final class DiscardHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
        }
    }
}
