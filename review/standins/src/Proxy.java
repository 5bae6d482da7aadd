import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Passes TCP connections on, and can delay, withhold or reset what goes over them. */
final class Proxy {
    private final ServerSocket server;
    private volatile boolean held;

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
                    Http.daemon(() -> pump(client, target));
                    pump(target, client);
                });
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    /** Withholds all bytes in both directions, or delivers them again. */
    void hold(boolean nowHeld) {
        held = nowHeld;
    }

    private void pump(Socket from, Socket to) throws Exception {
        byte[] buffer = new byte[8192];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count > 0; count = in.read(buffer)) {
                while (held) {
                    Thread.sleep(2);
                }
                out.write(buffer, 0, count);
                out.flush();
            }
        }
    }
}
