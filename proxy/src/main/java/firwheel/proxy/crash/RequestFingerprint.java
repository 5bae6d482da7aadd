package firwheel.proxy.crash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Digest of all that makes two requests the same to a target. Callers cannot produce the fingerprint of another
 * caller's request, since the caller is part of it.
 *
 * @param value 128 bits in hexadecimal
 */
public record RequestFingerprint(String value) {
    private static final int DIGEST_BYTES = 16;

    /**
     * Returns the fingerprint of a request.
     *
     * @param host value of the Host header
     * @param uri path and query
     * @param caller organisation of the caller, or what else identifies it
     */
    public static RequestFingerprint of(String method, String host, String uri, String caller, byte[] body) {
        MessageDigest digest = sha256();
        for (String field : new String[] {method, host, uri, caller}) {
            update(digest, field.getBytes(StandardCharsets.UTF_8));
        }
        update(digest, body);
        return new RequestFingerprint(HexFormat.of().formatHex(Arrays.copyOf(digest.digest(), DIGEST_BYTES)));
    }

    /** Adds a field with its length, so that no other fields give the same bytes. */
    private static void update(MessageDigest digest, byte[] field) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
        digest.update(field);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every JDK", e);
        }
    }
}
