package firwheel.wire;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * What protects the links of a process. Its text form shows no secret.
 *
 * @param key proven by both ends of every link
 * @param tls material for mutual TLS, or null for plain TCP
 */
public record LinkSecurity(SharedKey key, @Nullable LinkTls tls) {
    public LinkSecurity {
        Objects.requireNonNull(key, "key");
    }
}
