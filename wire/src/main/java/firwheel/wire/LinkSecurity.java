package firwheel.wire;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Shared key and TLS configuration of the links of a process. {@code toString} reveals no secrets.
 *
 * @param key shared key; both ends of every link must prove that they know it
 * @param tls certificates and private key for mutual TLS, or null for plain TCP
 */
public record LinkSecurity(SharedKey key, @Nullable LinkTls tls) {
    public LinkSecurity {
        Objects.requireNonNull(key, "key");
    }
}
