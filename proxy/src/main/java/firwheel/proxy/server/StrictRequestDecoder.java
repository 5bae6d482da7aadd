package firwheel.proxy.server;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;

/**
 * Decodes requests and refuses those whose length is stated twice, in the head and by chunks. Vert.x has no option for
 * it: its own decoder drops the header, so that what the caller counts as content runs as a request.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {
    private static final String HANDLER_NAME = "httpDecoder";

    private StrictRequestDecoder(HttpServerOptions options) {
        super(options);
    }

    /** Replaces the decoder of a connection, from which nothing has been read. */
    static void install(HttpConnection connection, HttpServerOptions options) {
        ChannelPipeline pipeline =
                ((HttpServerConnection) connection).channelHandlerContext().pipeline();
        var unused = pipeline.replace(VertxHttpRequestDecoder.class, HANDLER_NAME, new StrictRequestDecoder(options));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("Content-Length and Transfer-Encoding in one request");
    }
}
