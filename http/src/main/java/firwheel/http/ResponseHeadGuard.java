package firwheel.http;

import firwheel.model.ResponseHeadSyntax;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import org.jspecify.annotations.Nullable;

/**
 * Checks the bytes of each response's head on a client's connection before its decoder reads them. Requests must not be
 * pipelined.
 */
final class ResponseHeadGuard extends ChannelInboundHandlerAdapter {
    private static final int MAX_INTERIM_RESPONSES = 16;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int FIRST_FINAL_STATUS = 200;

    private @Nullable ResponseHeadSyntax head; // of the response that is being read; null within and behind its content
    private int interimResponses;
    private boolean refused;

    /** Installs a guard on a connection that has carried no request. */
    static void install(HttpConnection connection) {
        ChannelPipeline pipeline = ((HttpClientConnectionInternal) connection)
                .channelHandlerContext()
                .pipeline();
        String codec = pipeline.context(HttpClientCodec.class).name();
        ResponseHeadGuard guard = new ResponseHeadGuard();
        pipeline.addBefore(codec, "response-head-guard", guard);
        pipeline.addAfter(codec, "message-observer", guard.new MessageObserver());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        String violation = refused || !(message instanceof ByteBuf bytes) ? null : violation(bytes);
        if (violation != null) {
            refused = true;
            context.fireExceptionCaught(new DecoderException("malformed head of a response: " + violation));
            var unused = context.close();
        }
        if (refused) {
            ReferenceCountUtil.release(message);
        } else {
            context.fireChannelRead(message);
        }
    }

    private @Nullable String violation(ByteBuf received) {
        if (head == null) {
            return null;
        }
        byte[] bytes = ByteBufUtil.getBytes(received);
        int next = 0;
        while (head != null && next < bytes.length) {
            next = head.accept(bytes, next);
            if (head.violation() != null) {
                return head.violation();
            }
            if (head.ended()) {
                int status = head.status();
                head = isInterim(status) ? new ResponseHeadSyntax() : null;
                if (head != null && (status == SWITCHING_PROTOCOLS || interimResponses == MAX_INTERIM_RESPONSES)) {
                    return "interim response " + status + " after " + interimResponses + " others";
                }
                interimResponses++;
            }
        }
        return null;
    }

    private static boolean isInterim(int status) {
        return status < FIRST_FINAL_STATUS;
    }

    /** Notes when a request is written, and drops interim responses. */
    private final class MessageObserver extends ChannelDuplexHandler {
        private boolean dropping;

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof HttpRequest) {
                head = new ResponseHeadSyntax();
                interimResponses = 0;
            }
            var unused = context.write(message, promise);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpResponse response) {
                dropping = isInterim(response.status().code());
            }
            if (!dropping) {
                context.fireChannelRead(message);
                return;
            }
            ReferenceCountUtil.release(message);
            if (message instanceof LastHttpContent) {
                dropping = false;
            }
        }
    }
}
