package firwheel.proxy.server;

import firwheel.model.ResponseHeadSyntax;
import firwheel.proxy.attempt.ChunkFramingCheck;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the bytes of a connection to a target, one expected response at a time, to {@link TargetMessage}s. Stops at
 * the end of a response, so that the bytes behind it are seen as they are.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_STATUS_LINE_BYTES = 4 * 1024;
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    // Many chunks of a byte or two would take most of the time of a process.
    private static final int MAX_FRAMING_BYTES = 16 * 1024;

    private @Nullable ResponseHeadSyntax headSyntax; // of the head that is being read
    private @Nullable ChunkFramingCheck chunkCheck;
    private long chunkBytes;
    private long contentBytes;
    private @Nullable String error;
    private boolean surplusReceived;
    private boolean expecting;
    private boolean withoutContent;
    private boolean interim;
    private TargetMessage.Framing framing = TargetMessage.Framing.LENGTH;

    TargetResponseDecoder() {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEAD_BYTES)
                .setStrictLineParsing(true));
    }

    /**
     * Expects one response from now on.
     *
     * @param toHeadRequest whether it has no content, whatever length it states
     */
    void expectResponse(boolean toHeadRequest) {
        expecting = true;
        headSyntax = new ResponseHeadSyntax();
        withoutContent = toHeadRequest;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (!expecting) {
            surplusReceived = true;
            out.add(new TargetMessage.Surplus(readAll(in)));
            return;
        }
        int start = in.readerIndex();
        ResponseHeadSyntax syntax = headSyntax;
        ChunkFramingCheck check = chunkCheck;
        super.decode(context, in, out);
        if (syntax != null) {
            syntax.accept(readSince(start, in));
            refuse(syntax.violation(), out);
        }
        if (check != null) {
            byte[] read = readSince(start, in);
            refuse(check.accept(read), out);
            chunkBytes += read.length;
        }
        translate(in, out, false);
        long framingBytes = chunkBytes - contentBytes;
        if (check != null && framingBytes > MAX_FRAMING_BYTES && framingBytes > contentBytes) {
            refuse(framingBytes + " bytes of framing for " + contentBytes + " bytes of content", out);
        }
    }

    private static byte[] readSince(int start, ByteBuf in) {
        byte[] read = new byte[in.readerIndex() - start];
        in.getBytes(start, read);
        return read;
    }

    /** Returns whether bytes have arrived while no response was expected, delivered or not. */
    boolean surplusReceived() {
        return surplusReceived;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
        error = String.valueOf(cause.getMessage());
        super.exceptionCaught(context, cause);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        super.decodeLast(context, in, out);
        if (error != null) {
            expecting = false; // what a reset cuts off is not complete, even without a stated length
        }
        translate(in, out, true);
        out.add(new TargetMessage.ConnectionEnded(error == null ? "connection closed" : "connection lost: " + error));
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return withoutContent || super.isContentAlwaysEmpty(message);
    }

    /** Keeps both headers, so that the contradiction can be seen. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {}

    private void translate(ByteBuf in, List<Object> out, boolean connectionEnded) {
        List<Object> decoded = new ArrayList<>(out);
        out.clear();
        for (Object message : decoded) {
            if (message instanceof HttpObject part) {
                translate(part, in, out, connectionEnded);
                ReferenceCountUtil.release(part);
            } else {
                out.add(message);
            }
        }
    }

    private void translate(HttpObject part, ByteBuf in, List<Object> out, boolean connectionEnded) {
        if (!expecting) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            Throwable cause = part.decoderResult().cause();
            if (!(cause instanceof PrematureChannelClosureException)) {
                refuse(String.valueOf(cause.getMessage()), out);
            }
            expecting = false;
            return;
        }
        if (part instanceof HttpResponse response) {
            interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            framing = HttpUtil.isTransferEncodingChunked(response)
                    ? TargetMessage.Framing.CHUNKS
                    : TargetMessage.Framing.LENGTH;
            chunkCheck = framing == TargetMessage.Framing.CHUNKS ? new ChunkFramingCheck() : null;
            chunkBytes = 0;
            contentBytes = 0;
            headSyntax = interim ? new ResponseHeadSyntax() : null;
            out.add(new TargetMessage.Head(response));
        }
        if (part instanceof HttpContent content && content.content().isReadable()) {
            contentBytes += content.content().readableBytes();
            out.add(new TargetMessage.Content(readAll(content.content())));
        }
        if (part instanceof LastHttpContent last && !interim) {
            expecting = false;
            chunkCheck = null;
            out.add(new TargetMessage.End(
                    last.trailingHeaders(),
                    readAll(in),
                    connectionEnded ? TargetMessage.Framing.END_OF_CONNECTION : framing));
        }
    }

    private void refuse(@Nullable String violation, List<Object> out) {
        if (violation != null && expecting) {
            expecting = false;
            out.add(new TargetMessage.Malformed(violation));
        }
    }

    private static Buffer readAll(ByteBuf bytes) {
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        return Buffer.buffer(copy);
    }
}
