package firwheel.rebalance;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;

/**
 * Link of one host: forwards its connections to servers on other hosts at a limited total rate in each direction. All
 * methods run on one event loop.
 */
final class NarrowLink {
    private static final int PACKET_HEADER_BYTES = 66;
    private static final int NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Vertx vertx;
    private final long bytesPerSecond;
    private final Direction outgoing = new Direction();
    private final Direction incoming = new Direction();

    /** Bytes of one direction are delivered one after the other. */
    private final class Direction {
        private long busyUntilNanos = System.nanoTime();

        /** Delivers bytes; nothing more is read from their sender until then, as with a small window. */
        void deliver(Buffer bytes, NetSocket sender, NetSocket receiver) {
            sender.pause();
            long now = System.nanoTime();
            double seconds = (bytes.length() + PACKET_HEADER_BYTES) / (double) bytesPerSecond;
            busyUntilNanos = Math.max(now, busyUntilNanos) + (long) (seconds * NANOS_PER_SECOND);
            vertx.setTimer(Math.max(1, (busyUntilNanos - now) / NANOS_PER_MILLI), id -> {
                receiver.write(bytes);
                sender.resume();
            });
        }
    }

    NarrowLink(Vertx vertx, long bytesPerSecond) {
        this.vertx = vertx;
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Forwards connections to {@code ip} and {@code linkPort} to a server. */
    Future<NetServer> forward(String ip, int linkPort, String serverIp, int serverPort) {
        return vertx.createNetServer()
                .connectHandler(near -> {
                    near.pause();
                    vertx.createNetClient().connect(serverPort, serverIp).onSuccess(far -> {
                        near.handler(bytes -> outgoing.deliver(bytes, near, far));
                        far.handler(bytes -> incoming.deliver(bytes, far, near));
                        near.closeHandler(ignored -> far.close());
                        far.closeHandler(ignored -> near.close());
                        near.resume();
                    });
                })
                .listen(linkPort, ip);
    }
}
