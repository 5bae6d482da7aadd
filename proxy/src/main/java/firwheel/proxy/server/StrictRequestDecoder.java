package firwheel.proxy.server;

import firwheel.proxy.attempt.ChunkFramingCheck;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decodes requests and refuses those whose length is stated twice, in the head and by chunks, or whose chunks are no
 * certain ones. Vert.x has no option for it: its own decoder drops the header and cuts off long sizes, so that what the
 * caller counts as content runs as a request.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {
    private static final String HANDLER_NAME = "httpDecoder";

    private @Nullable ChunkFramingCheck chunkCheck;

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
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        int start = in.readerIndex();
        ChunkFramingCheck check = chunkCheck;
        super.decode(context, in, out);
        if (check != null) {
            byte[] read = new byte[in.readerIndex() - start];
            in.getBytes(start, read);
            String violation = check.accept(read);
            if (violation != null) {
                out.forEach(ReferenceCountUtil::release);
                out.clear();
                throw new IllegalArgumentException(violation);
            }
        }
        for (Object message : out) {
            if (message instanceof HttpRequest request) {
                chunkCheck = HttpUtil.isTransferEncodingChunked(request) ? new ChunkFramingCheck() : null;
            } else if (message instanceof LastHttpContent) {
                chunkCheck = null;
            }
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("Content-Length and Transfer-Encoding in one request");
    }
}
