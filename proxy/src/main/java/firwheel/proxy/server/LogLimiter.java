package firwheel.proxy.server;

import firwheel.model.TimeSource;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/** Limits the log lines of one kind to one a second for each target. */
final class LogLimiter {
    private static final Duration INTERVAL = Duration.ofSeconds(1);
    private static final int MAX_TARGETS = 1_024; // more than the targets of the largest deployment

    private final TimeSource time;
    private final Map<Target.Key, Logged> loggedByTarget = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Target.Key, Logged> eldest) {
            return size() > MAX_TARGETS;
        }
    };

    private record Logged(long lineNanos, long sinceLine) {}

    LogLimiter(TimeSource time) {
        this.time = time;
    }

    /** Returns how many events of the target were left out since its last line, or nothing if this one is left out too. */
    OptionalLong tryLog(Target target) {
        long now = time.monotonicNanos();
        Logged logged = loggedByTarget.get(target.key());
        if (logged != null && now - logged.lineNanos() < INTERVAL.toNanos()) {
            loggedByTarget.put(target.key(), new Logged(logged.lineNanos(), logged.sinceLine() + 1));
            return OptionalLong.empty();
        }
        loggedByTarget.put(target.key(), new Logged(now, 0));
        return OptionalLong.of(logged == null ? 0 : logged.sinceLine());
    }
}
