package firwheel.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digest for checking that requests with the same idempotency key are identical. */
final class RequestDigest {
    private RequestDigest() {}

    /** Returns the SHA-256 of method, path, content type and body. */
    static String of(CallerRequest request) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String head = request.method() + "\n" + request.targetPath() + "\n" + request.contentType() + "\n";
            digest.update(head.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(request.body()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
