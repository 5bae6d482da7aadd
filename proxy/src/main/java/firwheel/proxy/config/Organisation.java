package firwheel.proxy.config;

import java.util.Set;

/**
 * An organisation that requests are made for.
 *
 * @param name name that targets are told
 * @param keys API keys that its callers present
 */
public record Organisation(String name, Set<String> keys) {
    /** Copies the keys. */
    public Organisation {
        keys = Set.copyOf(keys);
    }
}
