package firwheel.proxy.config;

import java.util.Set;

/**
 * An organisation that requests are made for.
 *
 * @param name name that targets are told
 * @param apiKeys API keys that its callers present
 */
public record Organisation(String name, Set<String> apiKeys) {
    /** Copies the keys. */
    public Organisation {
        apiKeys = Set.copyOf(apiKeys);
    }
}
