package firwheel.proxy.server;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.vertx.core.buffer.Buffer;

/** What a connection to a target delivers, in order. */
sealed interface TargetMessage {
    /** Head of a response, which may be an interim one. */
    record Head(HttpResponse response) implements TargetMessage {}

    /** Part of the content of a response. */
    record Content(Buffer bytes) implements TargetMessage {}

    /**
     * End of a response that is not an interim one.
     *
     * @param trailers header fields behind the content
     * @param following bytes that were received together with the end and stand behind it
     * @param framing how the end was found
     */
    record End(HttpHeaders trailers, Buffer following, Framing framing) implements TargetMessage {}

    /** Bytes received while no response is expected. */
    record Surplus(Buffer bytes) implements TargetMessage {}

    /** Bytes that are no response. */
    record Malformed(String reason) implements TargetMessage {}

    /** The connection has ended; nothing follows. */
    record ConnectionEnded(String reason) implements TargetMessage {}

    /** How the end of a response is found. */
    enum Framing {
        LENGTH,
        CHUNKS,
        END_OF_CONNECTION
    }
}
