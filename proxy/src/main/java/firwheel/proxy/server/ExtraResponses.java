package firwheel.proxy.server;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.TimeSource;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Targets that lately wrote a response once more. Such a response arrives in place of the next one on its connection, so
 * their connections are not reused for a time.
 */
final class ExtraResponses {
    private static final Duration MEMORY = Duration.ofSeconds(10); // the next one then costs a repeat again
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1); // per target
    private static final int MAX_TARGETS = 1_024; // more than the targets of the largest deployment
    private static final Logger logger = LoggerFactory.getLogger(ExtraResponses.class);

    private final TimeSource time;
    private final Map<Target.Key, Seen> seenByTarget = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Target.Key, Seen> eldest) {
            return size() > MAX_TARGETS;
        }
    };
    private long count;

    private record Seen(long lastNanos, long loggedNanos, long sinceLine) {}

    ExtraResponses(TimeSource time) {
        this.time = time;
    }

    /** Returns how many were recorded. */
    long count() {
        return count;
    }

    /** Returns whether responses on reused connections to the target are likely to be to earlier requests. */
    boolean areLikely(Target target) {
        Seen seen = seenByTarget.get(target.key());
        return seen != null && time.monotonicNanos() - seen.lastNanos() < MEMORY.toNanos();
    }

    /** Records one, and logs it unless one of the same target has just been logged. */
    void onExtraResponse(Target target, @Nullable String respondedId, @Nullable String expectedId) {
        count++;
        long now = time.monotonicNanos();
        Seen seen = seenByTarget.get(target.key());
        if (seen != null && now - seen.loggedNanos() < LOG_INTERVAL.toNanos()) {
            seenByTarget.put(target.key(), new Seen(now, seen.loggedNanos(), seen.sinceLine() + 1));
            return;
        }
        seenByTarget.put(target.key(), new Seen(now, now, 0));
        Events.log(
                logger,
                EventCode.EXTRA_RESPONSE,
                "target",
                target.instanceId(),
                "service",
                target.service(),
                "respondedAttempt",
                respondedId,
                "expectedAttempt",
                expectedId,
                "notLogged",
                seen == null ? 0 : seen.sinceLine());
    }
}
