import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A path to a server, which can be partitioned: bytes are then held up, and lost if their connection is closed. */
final class Proxy {
    private final ServerSocket server;
    private final Set<Direction> directions = ConcurrentHashMap.newKeySet();
    private volatile boolean partitioned;
    private volatile long lastClosedNanos;

    /** One direction of a connection. */
    private final class Direction {
        private final Socket from;
        private final Socket to;
        private final boolean fromClient;
        private final ByteArrayOutputStream heldUp = new ByteArrayOutputStream();

        private Direction(Socket from, Socket to, boolean fromClient) {
            this.from = from;
            this.to = to;
            this.fromClient = fromClient;
        }

        private void run() throws IOException {
            directions.add(this);
            byte[] buffer = new byte[8_192];
            try (from;
                    to) {
                InputStream in = from.getInputStream();
                for (int count = in.read(buffer); count > 0; count = in.read(buffer)) {
                    synchronized (this) {
                        heldUp.write(buffer, 0, count);
                    }
                    deliver();
                }
            } finally {
                directions.remove(this);
                if (fromClient) {
                    lastClosedNanos = System.nanoTime();
                }
            }
        }

        private synchronized void deliver() throws IOException {
            if (!partitioned && heldUp.size() > 0) {
                OutputStream out = to.getOutputStream();
                out.write(heldUp.toByteArray());
                out.flush();
                heldUp.reset();
            }
        }
    }

    Proxy(String ip, String targetIp, int targetPort) throws Exception {
        server = new ServerSocket(0, 256, InetAddress.getByName(ip));
        Http.daemon(() -> {
            while (true) {
                Socket client = server.accept();
                Http.daemon(() -> {
                    Socket target = new Socket();
                    target.connect(new InetSocketAddress(targetIp, targetPort));
                    client.setTcpNoDelay(true);
                    target.setTcpNoDelay(true);
                    Http.daemon(new Direction(client, target, true)::run);
                    new Direction(target, client, false).run();
                });
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    void partition() {
        partitioned = true;
    }

    /** Ends the partition and delivers what was held up on connections that are still open. */
    void heal() {
        partitioned = false;
        for (Direction direction : directions) {
            try {
                direction.deliver();
            } catch (IOException e) {
                // this connection has ended
            }
        }
    }

    /** Waits until the client closes a connection, as it does when it gives a call up. */
    void awaitClose(long maxMillis) throws InterruptedException {
        long start = System.nanoTime();
        while (lastClosedNanos < start && System.nanoTime() - start < maxMillis * 1_000_000) {
            Thread.sleep(1);
        }
    }
}
