import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 on plain sockets, for stand-ins that must control every byte. */
final class Http {
    /** A message: its first line, headers with names in lower case, and body. */
    record Message(String firstLine, Map<String, String> headers, byte[] body, boolean complete) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String path() {
            return URI.create(target()).getPath();
        }

        String query(String name) {
            String query = URI.create(target()).getRawQuery();
            if (query != null) {
                for (String part : query.split("&")) {
                    if (part.startsWith(name + "=")) {
                        return URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Handles one request on a connection; returns whether the connection stays open. */
    interface Handler {
        boolean handle(Message request, Socket socket, OutputStream out) throws Exception;
    }

    private Http() {}

    /** Starts a server whose connections have a thread each. */
    static ServerSocket serve(String ip, int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> {
                    try (socket) {
                        InputStream in = socket.getInputStream();
                        OutputStream out = socket.getOutputStream();
                        while (true) {
                            Message request = readRequest(in);
                            if (request == null || !handler.handle(request, socket, out)) {
                                return;
                            }
                        }
                    }
                });
            }
        });
        return server;
    }

    interface Task {
        void run() throws Exception;
    }

    static void daemon(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception e) {
                // the connection or server has ended
            }
        }, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException();
            }
            if (b == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            line.write(b);
        }
    }

    static Message readRequest(InputStream in) throws IOException {
        return read(in, true);
    }

    /** Reads a response; its {@code complete} is false if it ends before its stated length or last chunk. */
    static Message readResponse(InputStream in) throws IOException {
        return read(in, false);
    }

    private static Message read(InputStream in, boolean request) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        try {
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                while (true) {
                    int length = Integer.parseInt(line(in).trim(), 16);
                    body.write(exactly(in, length, body));
                    line(in);
                    if (length == 0) {
                        break;
                    }
                }
            } else if (headers.containsKey("content-length")) {
                body.write(exactly(in, Integer.parseInt(headers.get("content-length")), body));
            } else if (!request) {
                in.transferTo(body);
            }
        } catch (IOException | NullPointerException | NumberFormatException e) {
            complete = false;
        }
        return new Message(first, headers, body.toByteArray(), complete);
    }

    private static byte[] exactly(InputStream in, int length, ByteArrayOutputStream partial) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            partial.write(bytes);
            throw new EOFException();
        }
        return bytes;
    }

    static void respond(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        out.write(all);
        out.flush();
    }

    static void respondJson(OutputStream out, int status, Object json) throws IOException {
        respond(out, status, "Content-Type: application/json\r\n", Json.write(json).getBytes(StandardCharsets.UTF_8));
    }

    /** Sends one request on a new connection; returns the response, or null if there is none in time. */
    static Message call(String ip, int port, String head, byte[] body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            out.write((head + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            return readResponse(socket.getInputStream());
        } catch (IOException e) {
            return null;
        }
    }
}
