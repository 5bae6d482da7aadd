package firwheel.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A peer that can send arbitrary bytes and messages in any order, over a blocking socket. */
final class RawPeer implements AutoCloseable {
    /** Actions of the peer in one test. */
    interface Script {
        void run(RawPeer peer) throws IOException;
    }

    static final MessageCodec CODEC = new MessageCodec();

    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final String ADDRESS = "10.0.0.2:1";
    private static final long INCARNATION = 9;

    private final Socket socket;
    private final DataOutputStream out;
    private final DataInputStream in;

    RawPeer(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        out = new DataOutputStream(socket.getOutputStream());
        in = new DataInputStream(socket.getInputStream());
    }

    LinkMessage.Hello hello(int major, int minor) {
        return new LinkMessage.Hello(major, minor, ADDRESS, "a", "agent", INCARNATION, new byte[32]);
    }

    LinkMessage.Proof proof(SharedKey key, LinkMessage.Hello own, LinkMessage.Hello acceptor) {
        return new LinkMessage.Proof(key.mac(List.of(
                utf8Bytes("initiator"),
                own.nonce(),
                acceptor.nonce(),
                utf8Bytes(own.address() + "|" + own.incarnation()),
                utf8Bytes(acceptor.address() + "|" + acceptor.incarnation()))));
    }

    void authenticate(SharedKey key) throws IOException {
        LinkMessage.Hello hello = hello(Link.MAJOR_VERSION, Link.MINOR_VERSION);
        send(hello);
        send(proof(key, hello, receiveHello()));
        receive();
    }

    void send(Message message) throws IOException {
        sendFrame(CODEC.encode(message));
    }

    void sendFrame(byte[] frame) throws IOException {
        sendLength(frame.length);
        out.write(frame);
    }

    void sendLength(int frameBytes) throws IOException {
        out.writeInt(frameBytes);
    }

    void sendText(String text) throws IOException {
        out.write(utf8Bytes(text));
    }

    void shutdownOutput() throws IOException {
        socket.shutdownOutput();
    }

    LinkMessage.Hello receiveHello() throws IOException {
        return (LinkMessage.Hello) receive();
    }

    Message receive() throws IOException {
        return CODEC.decode(in.readNBytes(in.readInt()));
    }

    /** Waits until the other end closes the connection; fails with a timeout if it stays open. */
    boolean closedByPeer() throws IOException {
        try {
            in.readAllBytes();
        } catch (SocketException e) {
            return e.getMessage() != null;
        }
        return true;
    }

    private static byte[] utf8Bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
