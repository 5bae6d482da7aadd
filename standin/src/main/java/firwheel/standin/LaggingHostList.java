package firwheel.standin;

import firwheel.model.TimeSource;
import firwheel.store.HostList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Host list whose updates become visible after a fixed lag, as with stale reads. Not thread-safe. */
public final class LaggingHostList implements HostList {
    private final TimeSource time;
    private final Duration lag;
    private final Deque<Version> versions = new ArrayDeque<>();

    /** Creates an empty list. */
    public LaggingHostList(TimeSource time, Duration lag) {
        this.time = time;
        this.lag = lag;
    }

    /** Replaces the list; readers see the new one after the lag. */
    public void set(List<HostEntry> hosts) {
        versions.addLast(new Version(time.monotonicNanos() + lag.toNanos(), List.copyOf(hosts)));
    }

    @Override
    public CompletableFuture<List<HostEntry>> hosts() {
        List<HostEntry> visible = List.of();
        for (Version version : versions) {
            if (version.visibleFromNanos() <= time.monotonicNanos()) {
                visible = version.hosts();
            }
        }
        return CompletableFuture.completedFuture(visible);
    }

    private record Version(long visibleFromNanos, List<HostEntry> hosts) {}
}
