package firwheel.proxy.config;

import java.util.Set;

/**
 * An organisation on whose behalf requests are made.
 *
 * @param name name passed to targets
 * @param apiKeys API keys that its clients present
 */
public record Organisation(String name, Set<String> apiKeys) {
    /** Makes a defensive copy of {@code apiKeys}. */
    public Organisation {
        apiKeys = Set.copyOf(apiKeys);
    }
}
