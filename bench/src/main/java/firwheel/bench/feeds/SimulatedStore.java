package firwheel.bench.feeds;

import firwheel.bench.VirtualEventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A store with one table whose state is a version number, polled by entries. */
final class SimulatedStore {
    private static final Duration LATENCY = Duration.ofMillis(4); // both ways

    /** How the store treats the calls of an entry. */
    enum Access {
        ANSWERED,
        REFUSED,
        SILENT
    }

    /** Receives the version, or -1 if the call was refused. */
    @FunctionalInterface
    interface ReplyHandler {
        void onReply(long version);
    }

    private record Poll(SimulatedEntry entry, ReplyHandler handler) {}

    private final VirtualEventLoop loop;
    private final List<Poll> pending = new ArrayList<>();
    private boolean down;
    private long version;
    private long calls;

    SimulatedStore(VirtualEventLoop loop) {
        this.loop = loop;
    }

    long version() {
        return version;
    }

    long calls() {
        return calls;
    }

    void setDown(boolean nowDown) {
        down = nowDown;
    }

    /** Increments the version and answers pending polls. */
    void change() {
        version++;
        List<Poll> answered = List.copyOf(pending);
        pending.clear();
        answered.forEach(this::reply);
    }

    /** Answers as soon as the version is higher than {@code known}, at the latest after {@code wait}. */
    void poll(SimulatedEntry entry, long known, Duration wait, ReplyHandler handler) {
        calls++;
        Poll poll = new Poll(entry, handler);
        if (down || entry.access() == Access.REFUSED) {
            loop.schedule(LATENCY.toNanos(), () -> handler.onReply(-1));
        } else if (known < version) {
            reply(poll);
        } else {
            pending.add(poll);
            loop.schedule(wait.toNanos(), () -> {
                if (pending.remove(poll)) {
                    reply(poll);
                }
            });
        }
    }

    private void reply(Poll poll) {
        if (!down && poll.entry().access() == Access.ANSWERED) {
            long answeredVersion = version;
            loop.schedule(LATENCY.toNanos(), () -> poll.handler().onReply(answeredVersion));
        }
    }
}
