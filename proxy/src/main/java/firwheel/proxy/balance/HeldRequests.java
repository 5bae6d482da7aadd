package firwheel.proxy.balance;

import firwheel.model.TimeSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Requests that wait for a group of their service to open. The load that this answers: a lost rank closes a group for
 * seconds, and callers that return shortly before it opens have no further attempt. Requests leave in order of their
 * deadlines. Bounded in number, bytes and time.
 *
 * @param <T> type of the requests, compared by identity
 */
public final class HeldRequests<T> {
    private final TimeSource time;
    private final int maxRequests;
    private final long maxBytes;
    private final List<Held<T>> held = new ArrayList<>();
    private long heldBytes;

    /** Why a request waits no longer. */
    public enum End {
        /** A target can take it. */
        OPEN,
        /** Its time is up. */
        EXPIRED,
        /** No group of its service is forming any more. */
        NOT_FORMING
    }

    /**
     * A request that waits.
     *
     * @param request the request
     * @param service service whose group it waits for
     * @param untilNanos monotonic time at which the wait ends
     * @param deadlineNanos monotonic time at which its client leaves
     * @param bytes bytes that are kept for it
     * @param whileForming whether the wait also ends when no group of the service is forming any more
     */
    public record Held<T>(
            T request, String service, long untilNanos, long deadlineNanos, int bytes, boolean whileForming) {}

    /** A request that waits no longer, and why. */
    public record Ended<T>(T request, End end) {}

    /** Creates a set for at most {@code maxRequests} requests with {@code maxBytes} bytes in total. */
    public HeldRequests(TimeSource time, int maxRequests, long maxBytes) {
        this.time = time;
        this.maxRequests = maxRequests;
        this.maxBytes = maxBytes;
    }

    /** Adds a request, unless a limit is reached or its time is up; returns whether it was added. */
    public boolean tryAdd(Held<T> candidate) {
        if (held.size() >= maxRequests
                || heldBytes + candidate.bytes() > maxBytes
                || candidate.untilNanos() <= time.monotonicNanos()) {
            return false;
        }
        held.add(candidate);
        held.sort(Comparator.comparingLong(Held::deadlineNanos));
        heldBytes += candidate.bytes();
        return true;
    }

    /** Removes a request that has ended otherwise; one that does not wait is ignored. */
    public void remove(T request) {
        for (Held<T> candidate : held) {
            if (candidate.request() == request) {
                remove(candidate);
                return;
            }
        }
    }

    /**
     * Removes and returns the next request whose wait ends, or null if all have to go on waiting. To be called again
     * after the request was sent, which may have taken the last place.
     *
     * @param hasPlace whether a target of a service can take a request
     * @param isForming whether a group of a service is forming
     */
    public @Nullable Ended<T> next(Predicate<String> hasPlace, Predicate<String> isForming) {
        long now = time.monotonicNanos();
        for (Held<T> candidate : held) {
            End end = end(candidate, now, hasPlace, isForming);
            if (end != null) {
                remove(candidate);
                return new Ended<>(candidate.request(), end);
            }
        }
        return null;
    }

    private @Nullable End end(Held<T> candidate, long now, Predicate<String> hasPlace, Predicate<String> isForming) {
        if (hasPlace.test(candidate.service())) {
            return End.OPEN;
        }
        if (now >= candidate.untilNanos()) {
            return End.EXPIRED;
        }
        return !candidate.whileForming() || isForming.test(candidate.service()) ? null : End.NOT_FORMING;
    }

    private void remove(Held<T> candidate) {
        held.remove(candidate);
        heldBytes -= candidate.bytes();
    }

    /** Returns the number of requests that wait. */
    public int size() {
        return held.size();
    }
}
