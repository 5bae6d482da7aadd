package firwheel.proxy.crash;

import java.util.Set;

/**
 * A request whose target may have crashed because of it.
 *
 * @param parts parts of its prompt that may be the cause; empty once the target had written some of its response
 */
public record Suspect(RequestFingerprint request, Set<PromptPart> parts) {
    public Suspect {
        parts = Set.copyOf(parts);
    }
}
