package firwheel.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Secret key shared by all processes of one deployment. {@code toString} does not reveal it. */
public final class SharedKey {
    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;

    /** Creates a key from the configured secret. */
    public SharedKey(String secret) {
        key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /**
     * Returns the message authentication code (MAC) over {@code parts}. Each part is preceded by its length in two
     * bytes, so that different splits of the same bytes give different codes.
     */
    public byte[] mac(List<byte[]> parts) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            for (byte[] part : parts) {
                mac.update((byte) (part.length >>> 8));
                mac.update((byte) part.length);
                mac.update(part);
            }
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Compares two MACs in constant time. */
    public static boolean matches(byte[] expected, byte[] presented) {
        return MessageDigest.isEqual(expected, presented);
    }

    @Override
    public String toString() {
        return "SharedKey[hidden]";
    }
}
