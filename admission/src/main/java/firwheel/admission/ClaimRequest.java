package firwheel.admission;

import java.time.Instant;
import java.util.Objects;

/**
 * A request with an idempotency key.
 *
 * @param organisation organisation of the caller
 * @param service service that is called
 * @param key idempotency key sent by the caller
 * @param bodyDigest digest of method, path, content type and body
 * @param deadline caller's deadline; used only to report a repeat of this request as in progress or as unresolved
 */
public record ClaimRequest(String organisation, String service, String key, String bodyDigest, Instant deadline) {
    public ClaimRequest {
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(bodyDigest, "bodyDigest");
        Objects.requireNonNull(deadline, "deadline");
    }
}
