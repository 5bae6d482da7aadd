package firwheel.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests links over real sockets, with valid and invalid peers. The acceptor echoes {@link LoadMessage.Probe}. */
final class LinkEndpointTest {
    private static final String LOOPBACK = "127.0.0.1";
    private static final long TIMEOUT_SECONDS = 20;
    private static final LinkTimeouts SHORT_TIMEOUTS = new LinkTimeouts(Duration.ofMillis(300), Duration.ofMillis(300));
    private static final LinkTimeouts LONG_TIMEOUTS = new LinkTimeouts(Duration.ofSeconds(60), Duration.ofSeconds(60));
    private static final SharedKey KEY = new SharedKey("the key of this deployment");

    private final Vertx vertx = Vertx.vertx();
    private LinkEndpoint acceptor = endpoint(new LinkSecurity(KEY, null), LONG_TIMEOUTS);
    private int port;

    @BeforeEach
    void listen() {
        listen(new LinkSecurity(KEY, null), LONG_TIMEOUTS);
    }

    @AfterEach
    void stop() {
        get(vertx.close().toCompletionStage().toCompletableFuture());
    }

    private LinkEndpoint endpoint(LinkSecurity security, LinkTimeouts timeouts) {
        return new LinkEndpoint(vertx, security, new LinkIdentity("10.0.0.1:1", "a", "entry", 7), timeouts);
    }

    private void listen(LinkSecurity security, LinkTimeouts timeouts) {
        acceptor = endpoint(security, timeouts);
        port = get(acceptor.listen(
                        LOOPBACK,
                        0,
                        link -> link.onMessage(message -> {
                            if (message instanceof LoadMessage.Probe) {
                                link.send(message);
                            }
                        })))
                .actualPort();
    }

    private static <T> T get(CompletableFuture<T> future) {
        return future.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    /** Opens a link and returns it after a probe sent on it was echoed. */
    private Link connectAndProbe(LinkSecurity security) {
        CompletableFuture<Message> echo = new CompletableFuture<>();
        Link link =
                get(endpoint(security, LONG_TIMEOUTS).connect(LOOPBACK, port).thenApply(open -> {
                    open.onMessage(echo::complete);
                    open.send(new LoadMessage.Probe(5));
                    return open;
                }));
        assertThat(get(echo)).isEqualTo(new LoadMessage.Probe(5));
        return link;
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError("interrupted", e);
        }
    }

    private void awaitRefusedLinks(long expected) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (acceptor.refusedLinks() != expected && System.nanoTime() < deadlineNanos) {
            pause();
        }
        assertThat(acceptor.refusedLinks()).isEqualTo(expected);
    }

    @Nested
    final class ValidPeers {
        @Test
        void authenticateEachOther() {
            assertThat(connectAndProbe(new LinkSecurity(KEY, null)).peer().role())
                    .isEqualTo("entry");
            assertThat(acceptor.refusedLinks()).isZero();
        }

        /** Guards against losing the first frame of the peer when it arrives before its handler is set. */
        @Test
        void authenticateWhenConnectingFromAnotherThread() {
            for (int i = 0; i < 300; i++) {
                assertThat(get(endpoint(new LinkSecurity(KEY, null), LONG_TIMEOUTS)
                                        .connect(LOOPBACK, port))
                                .isClosed())
                        .isFalse();
            }
            assertThat(acceptor.refusedLinks()).isZero();
        }

        @Test
        void withANewerMinorVersionAreAccepted() throws IOException {
            try (RawPeer peer = new RawPeer(port)) {
                LinkMessage.Hello hello = peer.hello(Link.MAJOR_VERSION, Link.MINOR_VERSION + 5);
                byte[] frame = RawPeer.CODEC.encode(hello);
                byte[] longer = Arrays.copyOf(frame, frame.length + 1);
                longer[1]++;
                peer.sendFrame(longer);
                peer.send(peer.proof(KEY, hello, peer.receiveHello()));
                assertThat(peer.receive()).isInstanceOf(LinkMessage.Proof.class);
                peer.sendFrame(new byte[] {99, (byte) 0x90});
                peer.send(new LoadMessage.Probe(8));

                assertThat(peer.receive()).isEqualTo(new LoadMessage.Probe(8));
            }
        }
    }

    /** Each violation closes only its own connection and is counted; a link established before stays open. */
    @Nested
    final class InvalidPeers {
        private void assertRefused(RawPeer.Script script) throws IOException {
            Link establishedLink = connectAndProbe(new LinkSecurity(KEY, null));
            try (RawPeer peer = new RawPeer(port)) {
                script.run(peer);

                assertThat(peer.closedByPeer()).isTrue();
            }
            awaitRefusedLinks(1);
            assertThat(establishedLink.isClosed()).isFalse();
            connectAndProbe(new LinkSecurity(KEY, null));
        }

        @Test
        void wrongKey() throws IOException {
            assertRefused(peer -> {
                LinkMessage.Hello hello = peer.hello(Link.MAJOR_VERSION, 0);
                peer.send(hello);
                peer.send(peer.proof(new SharedKey("another key"), hello, peer.receiveHello()));
            });
        }

        @Test
        void wrongKeyFailsConnectorToo() {
            LinkEndpoint connector = endpoint(new LinkSecurity(new SharedKey("another key"), null), LONG_TIMEOUTS);

            assertThatThrownBy(() -> get(connector.connect(LOOPBACK, port))).hasMessageContaining("FW-700");
        }

        @Test
        void reflectedProof() throws IOException {
            assertRefused(peer -> {
                peer.send(peer.receiveHello());
                peer.send(peer.receive());
            });
        }

        @Test
        void proofBeforeHello() throws IOException {
            assertRefused(peer -> peer.send(new LinkMessage.Proof(new byte[32])));
        }

        @Test
        void messageBeforeAuthentication() throws IOException {
            assertRefused(peer -> peer.send(new LoadMessage.Probe(1)));
        }

        @Test
        void otherMajorVersion() throws IOException {
            assertRefused(peer -> peer.send(peer.hello(Link.MAJOR_VERSION + 1, 0)));
        }

        @Test
        void oversizedFrameBeforeAuthentication() throws IOException {
            assertRefused(peer -> peer.sendLength(5_000));
        }

        @Test
        void oversizedFrameAfterAuthentication() throws IOException {
            assertRefused(peer -> {
                peer.authenticate(KEY);
                peer.sendLength(Link.MAX_FRAME_BYTES + 1);
            });
        }

        @Test
        void negativeLength() throws IOException {
            assertRefused(peer -> peer.sendLength(-1));
        }

        @Test
        void malformedDataBeforeAuthentication() throws IOException {
            assertRefused(peer -> peer.sendText("GET / HTTP/1.1\r\n\r\n"));
        }

        @Test
        void malformedMessageAfterAuthentication() throws IOException {
            assertRefused(peer -> {
                peer.authenticate(KEY);
                peer.sendFrame(new byte[] {13, 1, 2, 3});
            });
        }

        @Test
        void connectionClosedWithinFrame() throws IOException {
            assertRefused(peer -> {
                peer.authenticate(KEY);
                peer.sendLength(100);
                peer.sendText("half");
                peer.shutdownOutput();
            });
        }

        @Test
        void incompleteFrameTimesOut() throws IOException {
            listen(new LinkSecurity(KEY, null), SHORT_TIMEOUTS);
            assertRefused(peer -> {
                peer.authenticate(KEY);
                peer.sendLength(100);
                peer.sendText("half");
            });
        }

        @Test
        void incompleteHandshakeTimesOut() throws IOException {
            listen(new LinkSecurity(KEY, null), SHORT_TIMEOUTS);
            assertRefused(peer -> peer.send(peer.hello(Link.MAJOR_VERSION, 0)));
        }
    }

    @Nested
    final class Tls {
        private final LinkTls trustedTls = new LinkTls(pem("process.pem"), pem("process.key"), pem("ca.pem"));

        @BeforeEach
        void listenWithTls() {
            listen(new LinkSecurity(KEY, trustedTls), LONG_TIMEOUTS);
        }

        private static String pem(String name) {
            try (var in = LinkEndpointTest.class.getResourceAsStream("/test-only/" + name)) {
                return new String(Objects.requireNonNull(in, name).readAllBytes(), StandardCharsets.UTF_8);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private void assertConnectorRefused(@Nullable LinkTls tls) {
            LinkEndpoint connector = endpoint(new LinkSecurity(KEY, tls), LONG_TIMEOUTS);

            assertThatThrownBy(() -> get(connector.connect(LOOPBACK, port))).isNotNull();
            awaitRefusedLinks(1);
            connectAndProbe(new LinkSecurity(KEY, trustedTls));
        }

        @Test
        void acceptsTrustedCertificate() {
            connectAndProbe(new LinkSecurity(KEY, trustedTls));
        }

        @Test
        void refusesUntrustedClientCertificate() {
            assertConnectorRefused(new LinkTls(pem("untrusted.pem"), pem("untrusted.key"), pem("ca.pem")));
        }

        @Test
        void refusesPlainTcp() {
            assertConnectorRefused(null);
        }

        @Test
        void refusesUntrustedServerCertificate() {
            LinkTls distrustingTls = new LinkTls(pem("process.pem"), pem("process.key"), pem("untrusted.pem"));

            assertThatThrownBy(() -> get(endpoint(new LinkSecurity(KEY, distrustingTls), LONG_TIMEOUTS)
                            .connect(LOOPBACK, port)))
                    .isNotNull();
        }
    }

    /** Guards against a proof that is valid for more than one combination of nonces and identities. */
    @Test
    void macDependsOnOrderAndBoundariesOfParts() {
        assertThat(KEY.mac(List.of(new byte[] {1}, new byte[] {2})))
                .isNotEqualTo(KEY.mac(List.of(new byte[] {1, 2})))
                .isNotEqualTo(KEY.mac(List.of(new byte[] {2}, new byte[] {1})));
    }
}
