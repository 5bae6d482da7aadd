package firwheel.proxy.server;

import firwheel.model.TimeSource;
import firwheel.proxy.attempt.ChunkFramingCheck;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decodes requests within the limits of {@link ClientInput}, and refuses those whose length is stated twice, in the head
 * and by chunks, or whose chunks are no certain ones. Vert.x has no option for it: its own decoder drops the header and
 * cuts off long sizes, so that what the caller counts as content runs as a request, and decodes requests without end
 * that wait for the current one.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {
    private static final String HANDLER_NAME = "httpDecoder";
    private static final int MAX_WAITING_BYTES =
            16 * 1024; // with less, reading goes on and finds out if the client left

    private final ClientInput input;
    private final TimeSource time;
    private @Nullable ChannelHandlerContext waitingContext; // of requests that are not decoded yet, null if none
    private @Nullable ChunkFramingCheck chunkCheck;
    private boolean inContent;
    private boolean refused;

    private StrictRequestDecoder(HttpServerOptions options, ClientInput input, TimeSource time) {
        super(options);
        this.input = input;
        this.time = time;
    }

    /** Replaces the decoder of a connection, from which nothing has been read. */
    static StrictRequestDecoder install(
            HttpConnection connection, HttpServerOptions options, ClientInput input, TimeSource time) {
        ChannelPipeline pipeline =
                ((HttpServerConnection) connection).channelHandlerContext().pipeline();
        StrictRequestDecoder decoder = new StrictRequestDecoder(options, input, time);
        var unused = pipeline.replace(VertxHttpRequestDecoder.class, HANDLER_NAME, decoder);
        return decoder;
    }

    /** Decodes requests that wait, as an open one has ended. */
    void onRequestEnd() {
        input.onRequestEnd();
        ChannelHandlerContext context = waitingContext;
        if (context != null) {
            waitingContext = null;
            context.executor().execute(() -> decodeWaiting(context));
        }
    }

    private void decodeWaiting(ChannelHandlerContext context) {
        context.channel().config().setAutoRead(true);
        try {
            channelRead(context, Unpooled.EMPTY_BUFFER);
            channelReadComplete(context);
        } catch (Exception e) {
            context.fireExceptionCaught(e);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (refused) {
            in.skipBytes(in.readableBytes());
            return;
        }
        boolean waiting = !inContent && !input.mayStartRequest();
        waitingContext = waiting ? context : null;
        if (waiting) {
            if (in.readableBytes() > MAX_WAITING_BYTES) {
                context.channel().config().setAutoRead(false);
            }
        } else if (inContent) {
            decodeContent(context, in, out);
        } else {
            decodeHead(context, in, out);
        }
        if (!input.keep(in.readableBytes())) {
            refuse(context, in, out); // the connection is being closed
        }
    }

    private void decodeHead(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        ByteBuf decoded = decodeWithinLimit(context, in, out);
        boolean complete = !out.isEmpty();
        if (!input.onHead(decoded, complete ? 0 : in.readableBytes(), time.monotonicNanos())) {
            refuse(context, in, out);
            HttpMessage invalid = createInvalidMessage();
            invalid.setDecoderResult(DecoderResult.failure(
                    new TooLongHttpHeaderException("head exceeds " + input.maxHeadBytes() + " bytes")));
            out.add(invalid);
        } else if (complete) {
            input.onHeadComplete();
            chunkCheck = out.get(0) instanceof HttpRequest request && HttpUtil.isTransferEncodingChunked(request)
                    ? new ChunkFramingCheck()
                    : null;
            inContent = !endsContent(out);
        }
    }

    private void decodeContent(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        ChunkFramingCheck check = chunkCheck;
        if (check == null) {
            super.decode(context, in, out);
        } else {
            ByteBuf decoded = decodeWithinLimit(context, in, out);
            String violation = check.accept(ByteBufUtil.getBytes(decoded));
            if (violation == null && check.inTrailers() && !endsContent(out)) {
                boolean withinLimit = input.onHead(decoded, 0, time.monotonicNanos());
                violation = withinLimit ? null : "trailers exceed " + input.maxHeadBytes() + " bytes";
            }
            if (violation != null) {
                refuse(context, in, out);
                throw new IllegalArgumentException(violation);
            }
        }
        if (endsContent(out)) {
            input.forgetHead();
            chunkCheck = null;
            inContent = false;
        }
    }

    /** Decodes no more bytes at once than a head may have; returns those that were decoded. */
    private ByteBuf decodeWithinLimit(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        ByteBuf part = in.slice(in.readerIndex(), Math.min(in.readableBytes(), input.maxHeadBytes() + 1));
        super.decode(context, part, out);
        in.skipBytes(part.readerIndex());
        return part.slice(0, part.readerIndex());
    }

    private void refuse(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        refused = true;
        drop(in, out);
        reset();
        super.decode(context, Unpooled.EMPTY_BUFFER, out); // drops what has been decoded of the head
        input.forgetHead();
    }

    private static boolean endsContent(List<Object> messages) {
        return !messages.isEmpty() && messages.get(messages.size() - 1) instanceof LastHttpContent;
    }

    private static void drop(ByteBuf in, List<Object> out) {
        in.skipBytes(in.readableBytes());
        out.forEach(ReferenceCountUtil::release);
        out.clear();
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("Content-Length and Transfer-Encoding in one request");
    }
}
