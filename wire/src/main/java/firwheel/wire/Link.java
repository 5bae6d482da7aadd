package firwheel.wire;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One authenticated TCP connection between two firwheel processes. Each frame is preceded by its length as a 4-byte
 * big-endian integer. All methods must be called on the event loop of the socket.
 */
public final class Link {
    /** Major protocol version. A peer with a different major version is refused. */
    public static final int MAJOR_VERSION = 1;
    /** Minor protocol version. A higher minor version only adds fields and message types. */
    public static final int MINOR_VERSION = 0;
    /** Maximum size in bytes of a frame after authentication, without its length prefix. */
    public static final int MAX_FRAME_BYTES = 17 * 1024 * 1024;

    private static final int MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024;
    private static final int LENGTH_BYTES = 4;
    private static final Logger logger = LoggerFactory.getLogger(Link.class);

    private final Vertx vertx;
    private final NetSocket socket;
    private final MessageCodec codec;
    private final Handshake handshake;
    private final RecordParser parser;
    private final LinkTimeouts timeouts;
    private final Runnable onRefused;
    private final CompletableFuture<Link> established = new CompletableFuture<>();
    private Consumer<Message> messageHandler = message -> {};
    private Runnable closeHandler = () -> {};
    private boolean readingLength = true;
    private boolean frameTimerActive;
    private long framesReceived;
    private boolean refused;
    private boolean closed;

    private Link(
            Vertx vertx,
            NetSocket socket,
            MessageCodec codec,
            Handshake handshake,
            LinkTimeouts timeouts,
            Runnable onRefused) {
        this.vertx = vertx;
        this.socket = socket;
        this.codec = codec;
        this.handshake = handshake;
        this.timeouts = timeouts;
        this.onRefused = onRefused;
        parser = RecordParser.newFixed(LENGTH_BYTES, this::onRecord);
        long handshakeTimer = vertx.setTimer(timeouts.handshake().toMillis(), id -> {
            if (!handshake.isComplete()) {
                refuse(new FirwheelException(ResultCode.LINK_UNAUTHENTICATED, "handshake timed out"));
            }
        });
        socket.handler(bytes -> {
            parser.handle(bytes);
            startFrameTimer();
        });
        socket.exceptionHandler(error -> socket.close());
        socket.closeHandler(ignored -> {
            vertx.cancelTimer(handshakeTimer);
            onSocketClosed();
        });
    }

    /**
     * Starts the handshake on a connected socket. The future completes when the peer is authenticated.
     * {@code onRefused} runs at most once, when the peer fails authentication or sends a malformed frame, during or
     * after the handshake.
     */
    static CompletableFuture<Link> establish(
            Vertx vertx,
            NetSocket socket,
            MessageCodec codec,
            Handshake handshake,
            LinkTimeouts timeouts,
            Runnable onRefused) {
        Link link = new Link(vertx, socket, codec, handshake, timeouts, onRefused);
        link.write(link.handshake.localHello());
        return link.established;
    }

    /** Returns the {@code Hello} of the peer, which contains its identity. */
    public LinkMessage.Hello peer() {
        return handshake.peerHello();
    }

    /** Sets the handler of messages received after authentication. */
    public void onMessage(Consumer<Message> handler) {
        messageHandler = handler;
    }

    /** Sets the handler that runs once when the link is closed; runs it at once if the link is already closed. */
    public void onClose(Runnable handler) {
        closeHandler = handler;
        if (closed) {
            handler.run();
        }
    }

    /** Sends a message. On a closed link the message is dropped; the close handler reports the loss. */
    public void send(Message message) {
        if (!closed) {
            write(message);
        }
    }

    /** Returns whether the write queue of the socket is full, so that the sender should pause. */
    public boolean writeQueueFull() {
        return socket.writeQueueFull();
    }

    public boolean isClosed() {
        return closed;
    }

    public void close() {
        socket.close();
    }

    private void write(Message message) {
        byte[] frame = codec.encode(message);
        socket.write(Buffer.buffer(LENGTH_BYTES + frame.length)
                .appendInt(frame.length)
                .appendBytes(frame));
    }

    private void onRecord(Buffer record) {
        if (closed || refused) {
            return;
        }
        try {
            if (readingLength) {
                onFrameLength(record.getInt(0));
            } else {
                readingLength = true;
                framesReceived++;
                parser.fixedSizeMode(LENGTH_BYTES);
                onFrame(record.getBytes());
            }
        } catch (FirwheelException e) {
            refuse(e);
        } catch (RuntimeException e) {
            logger.atWarn().setCause(e).log("failed to handle a message");
            refuse(new FirwheelException(ResultCode.BAD_FRAME, "failed to handle a message", Duration.ZERO, e));
        }
    }

    private void startFrameTimer() {
        if (readingLength || frameTimerActive || closed) {
            return;
        }
        frameTimerActive = true;
        long framesReceivedBefore = framesReceived;
        vertx.setTimer(timeouts.frame().toMillis(), id -> {
            frameTimerActive = false;
            if (!closed && !readingLength && framesReceived == framesReceivedBefore) {
                refuse(new FirwheelException(ResultCode.BAD_FRAME, "timed out before the frame was complete"));
            } else {
                startFrameTimer();
            }
        });
    }

    private void onFrameLength(int frameBytes) {
        int limit = handshake.isComplete() ? MAX_FRAME_BYTES : MAX_HANDSHAKE_FRAME_BYTES;
        if (frameBytes < 1 || frameBytes > limit) {
            throw new FirwheelException(ResultCode.BAD_FRAME, "frame of " + frameBytes + " bytes, limit " + limit);
        }
        readingLength = false;
        parser.fixedSizeMode(frameBytes);
    }

    private void onFrame(byte[] frame) {
        Message message = codec.decode(frame);
        if (handshake.isComplete()) {
            messageHandler.accept(message);
        } else if (message instanceof LinkMessage.Hello hello) {
            write(handshake.onHello(hello));
        } else if (message instanceof LinkMessage.Proof proof) {
            handshake.onProof(proof);
            established.complete(this);
        } else {
            throw new FirwheelException(ResultCode.LINK_UNAUTHENTICATED, "received a message before authentication");
        }
    }

    private void refuse(FirwheelException reason) {
        if (refused) {
            return;
        }
        refused = true;
        onRefused.run();
        Events.log(logger, EventCode.LINK_REFUSED, "peer", socket.remoteAddress(), "reason", reason.getMessage());
        established.completeExceptionally(reason);
        socket.close();
    }

    private void onSocketClosed() {
        if (closed) {
            return;
        }
        if (!readingLength) {
            refuse(new FirwheelException(ResultCode.BAD_FRAME, "link closed in the middle of a frame"));
        }
        closed = true;
        established.completeExceptionally(new FirwheelException(ResultCode.LINK_LOST, "link closed during handshake"));
        closeHandler.run();
    }
}
