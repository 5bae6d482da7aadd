package firwheel.proxy.crash;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The parts of prompts that targets responded to last, up to a fixed number. */
final class RecentParts {
    private static final int MAX_PARTS = 4_096; // some 400 kB
    private static final float LOAD_FACTOR = 0.75f;

    private final Set<PromptPart> parts = Collections.newSetFromMap(new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<PromptPart, Boolean> eldest) {
            return size() > MAX_PARTS;
        }
    });

    void addAll(Collection<PromptPart> responded) {
        parts.addAll(responded);
    }

    boolean contains(PromptPart part) {
        return parts.contains(part);
    }
}
