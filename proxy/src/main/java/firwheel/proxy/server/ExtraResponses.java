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
    private static final int MAX_TARGETS = 1_024; // more than the targets of the largest deployment
    private static final Logger logger = LoggerFactory.getLogger(ExtraResponses.class);

    private final TimeSource time;
    private final LogLimiter limiter;
    private final Map<Target.Key, Long> lastNanosByTarget = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Target.Key, Long> eldest) {
            return size() > MAX_TARGETS;
        }
    };
    private long count;

    ExtraResponses(TimeSource time) {
        this.time = time;
        limiter = new LogLimiter(time);
    }

    /** Returns how many were recorded. */
    long count() {
        return count;
    }

    /** Returns whether responses on reused connections to the target are likely to be to earlier requests. */
    boolean areLikely(Target target) {
        Long lastNanos = lastNanosByTarget.get(target.key());
        return lastNanos != null && time.monotonicNanos() - lastNanos < MEMORY.toNanos();
    }

    /** Records one, and logs it unless one of the same target has just been logged. */
    void onExtraResponse(Target target, @Nullable String respondedId, @Nullable String expectedId) {
        count++;
        lastNanosByTarget.put(target.key(), time.monotonicNanos());
        limiter.tryLog(target)
                .ifPresent(leftOut -> Events.log(
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
                        leftOut));
    }
}
