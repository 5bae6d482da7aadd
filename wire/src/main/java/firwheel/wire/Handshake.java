package firwheel.wire;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Mutual authentication of a link. Both ends send {@link LinkMessage.Hello}, then each proves with {@link
 * LinkMessage.Proof} that it knows the shared key. The MAC covers the role in the connection (initiator or acceptor),
 * both nonces, and the address and incarnation of both ends, so that a proof can be neither reflected nor replayed on
 * another link. This class performs no I/O.
 */
final class Handshake {
    private static final int NONCE_BYTES = 32;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SharedKey key;
    private final boolean initiator;
    private final LinkMessage.Hello localHello;
    private LinkMessage.@Nullable Hello peerHello;
    private boolean authenticated;

    Handshake(SharedKey key, LinkIdentity identity, boolean initiator) {
        this.key = key;
        this.initiator = initiator;
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        localHello = new LinkMessage.Hello(
                Link.MAJOR_VERSION,
                Link.MINOR_VERSION,
                identity.address(),
                identity.availabilityZone(),
                identity.role(),
                identity.incarnation(),
                nonce);
    }

    LinkMessage.Hello localHello() {
        return localHello;
    }

    boolean isComplete() {
        return authenticated;
    }

    LinkMessage.Hello peerHello() {
        if (peerHello == null) {
            throw new IllegalStateException("Hello not received yet");
        }
        return peerHello;
    }

    /** Records the peer's {@code Hello} and returns the proof to send. */
    LinkMessage.Proof onHello(LinkMessage.Hello hello) {
        if (peerHello != null || hello.nonce() == null || hello.nonce().length != NONCE_BYTES) {
            throw new FirwheelException(ResultCode.BAD_FRAME, "duplicate Hello or invalid nonce");
        }
        if (hello.majorVersion() != Link.MAJOR_VERSION) {
            throw new FirwheelException(
                    ResultCode.VERSION_UNSUPPORTED,
                    "peer uses major protocol version " + hello.majorVersion() + ", expected " + Link.MAJOR_VERSION);
        }
        peerHello = hello;
        return new LinkMessage.Proof(proofMac(initiator));
    }

    /** Verifies the peer's proof; fails with {@code FW-7002} if it is wrong. */
    void onProof(LinkMessage.Proof proof) {
        if (peerHello == null || proof.mac() == null || !SharedKey.matches(proofMac(!initiator), proof.mac())) {
            throw new FirwheelException(
                    ResultCode.LINK_UNAUTHENTICATED, "proof does not match the shared key, or Hello is missing");
        }
        authenticated = true;
    }

    private byte[] proofMac(boolean forInitiator) {
        LinkMessage.Hello initiatorHello = initiator ? localHello : peerHello();
        LinkMessage.Hello acceptorHello = initiator ? peerHello() : localHello;
        return key.mac(List.of(
                utf8Bytes(forInitiator ? "initiator" : "acceptor"),
                initiatorHello.nonce(),
                acceptorHello.nonce(),
                utf8Bytes(initiatorHello.address() + "|" + initiatorHello.incarnation()),
                utf8Bytes(acceptorHello.address() + "|" + acceptorHello.incarnation())));
    }

    private static byte[] utf8Bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
