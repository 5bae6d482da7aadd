package firwheel.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Key that all processes of one deployment share. Its text form never shows the key. */
public final class SharedKey {
    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;

    /** Creates a key from the secret text of the settings. */
    public SharedKey(String secret) {
        key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /** Returns the message authentication code over {@code parts}, each preceded by its length. */
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

    /** Compares two codes in constant time. */
    public static boolean matches(byte[] expected, byte[] presented) {
        return MessageDigest.isEqual(expected, presented);
    }

    @Override
    public String toString() {
        return "SharedKey[hidden]";
    }
}
