package firwheel.wire;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Mutual authentication of a link. Both ends send {@link LinkMessage.Hello}, then each proves with {@link
 * LinkMessage.Proof} that it knows the shared key. The code covers the side, both nonces and both identities, so that a
 * proof cannot be reflected or moved to another link. No I/O.
 */
final class Handshake {
    private static final int NONCE_BYTES = 32;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SharedKey key;
    private final boolean initiator;
    private final LinkMessage.Hello own;
    private LinkMessage.@Nullable Hello peer;
    private boolean proven;

    Handshake(SharedKey key, LinkIdentity identity, boolean initiator) {
        this.key = key;
        this.initiator = initiator;
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        own = new LinkMessage.Hello(
                Link.MAJOR_VERSION,
                Link.MINOR_VERSION,
                identity.address(),
                identity.availabilityZone(),
                identity.role(),
                identity.incarnation(),
                nonce);
    }

    LinkMessage.Hello hello() {
        return own;
    }

    boolean complete() {
        return proven;
    }

    LinkMessage.Hello peer() {
        if (peer == null) {
            throw new IllegalStateException("no hello yet");
        }
        return peer;
    }

    /** Takes the peer's greeting and returns the proof to send. */
    LinkMessage.Proof onHello(LinkMessage.Hello hello) {
        if (peer != null || hello.nonce() == null || hello.nonce().length != NONCE_BYTES) {
            throw new FirwheelException(ResultCode.BAD_FRAME, "unexpected hello");
        }
        if (hello.majorVersion() != Link.MAJOR_VERSION) {
            throw new FirwheelException(
                    ResultCode.VERSION_UNSUPPORTED,
                    "peer speaks " + hello.majorVersion() + ", not " + Link.MAJOR_VERSION);
        }
        peer = hello;
        return new LinkMessage.Proof(code(initiator));
    }

    /** Takes the peer's proof; fails with {@code FW-7002} when it is wrong. */
    void onProof(LinkMessage.Proof proof) {
        if (peer == null || proof.mac() == null || !SharedKey.matches(code(!initiator), proof.mac())) {
            throw new FirwheelException(ResultCode.LINK_UNAUTHENTICATED, "peer does not know the shared key");
        }
        proven = true;
    }

    private byte[] code(boolean ofInitiator) {
        LinkMessage.Hello first = initiator ? own : peer();
        LinkMessage.Hello second = initiator ? peer() : own;
        return key.mac(List.of(
                bytes(ofInitiator ? "initiator" : "acceptor"),
                first.nonce(),
                second.nonce(),
                bytes(first.address() + "|" + first.incarnation()),
                bytes(second.address() + "|" + second.incarnation())));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
