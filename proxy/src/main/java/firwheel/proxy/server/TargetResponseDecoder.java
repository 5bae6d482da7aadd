package firwheel.proxy.server;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
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

/**
 * Decodes the bytes of a connection to a target, one expected response at a time, to {@link TargetMessage}s. Stops at
 * the end of a response, so that the bytes behind it are seen as they are.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_STATUS_LINE_BYTES = 4 * 1024;
    private static final int MAX_HEAD_BYTES = 16 * 1024;

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
        withoutContent = toHeadRequest;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (!expecting) {
            out.add(new TargetMessage.Surplus(readAll(in)));
            return;
        }
        super.decode(context, in, out);
        translate(in, out, false);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        super.decodeLast(context, in, out);
        translate(in, out, true);
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
            expecting = false;
            out.add(new TargetMessage.Malformed(
                    String.valueOf(part.decoderResult().cause().getMessage())));
            return;
        }
        if (part instanceof HttpResponse response) {
            interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            framing = HttpUtil.isTransferEncodingChunked(response)
                    ? TargetMessage.Framing.CHUNKS
                    : TargetMessage.Framing.LENGTH;
            out.add(new TargetMessage.Head(response));
        }
        if (part instanceof HttpContent content && content.content().isReadable()) {
            out.add(new TargetMessage.Content(readAll(content.content())));
        }
        if (part instanceof LastHttpContent last && !interim) {
            expecting = false;
            out.add(new TargetMessage.End(
                    last.trailingHeaders(),
                    readAll(in),
                    connectionEnded ? TargetMessage.Framing.END_OF_CONNECTION : framing));
        }
    }

    private static Buffer readAll(ByteBuf bytes) {
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        return Buffer.buffer(copy);
    }
}
