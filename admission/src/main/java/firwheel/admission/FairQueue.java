package firwheel.admission;

import firwheel.model.AttemptId;
import firwheel.model.Priority;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Queue of attempts with strict priorities and fair queueing among the organisations of each priority. The owner
 * enforces the limits on count and bytes; {@link #evictionCandidateFor} selects what to evict from a full queue. Not
 * thread-safe.
 */
public final class FairQueue {
    private final Map<Priority, DeficitRoundRobinQueue> queuesByPriority = new EnumMap<>(Priority.class);
    private final Map<AttemptId, WaitingAttempt> waiting = new LinkedHashMap<>();
    private long queuedBytes;
    private long queuedTokens;

    /** Creates an empty queue; an idle organisation accumulates at most {@code maxCreditTokens} of credit. */
    public FairQueue(long maxCreditTokens) {
        for (Priority priority : Priority.values()) {
            queuesByPriority.put(priority, new DeficitRoundRobinQueue(maxCreditTokens));
        }
    }

    /** Sets the maximum credit that an idle organisation accumulates. */
    public void setMaxCreditTokens(long maxCreditTokens) {
        queuesByPriority.values().forEach(queue -> queue.setMaxCreditTokens(maxCreditTokens));
    }

    public void add(AttemptDescriptor attempt, long nowMillis) {
        waiting.put(attempt.id(), new WaitingAttempt(attempt, nowMillis));
        queuedBytes += attempt.bodyBytes();
        queuedTokens += attempt.tokens();
        queueFor(attempt.priority()).add(attempt);
    }

    /** Returns the next attempt to serve without removing it, or null if the queue is empty. */
    public @Nullable AttemptDescriptor peek() {
        for (DeficitRoundRobinQueue queue : queuesByPriority.values()) {
            AttemptDescriptor head = queue.peek();
            if (head != null) {
                return head;
            }
        }
        return null;
    }

    /** Removes the attempt last returned by {@link #peek} and charges its tokens to its organisation. */
    public void take(AttemptDescriptor head) {
        queueFor(head.priority()).take(head);
        unregister(head);
    }

    /** Removes an attempt that is not served; returns whether it was queued. */
    public boolean remove(AttemptId id) {
        WaitingAttempt found = waiting.get(id);
        if (found == null) {
            return false;
        }
        queueFor(found.attempt().priority()).remove(found.attempt());
        unregister(found.attempt());
        return true;
    }

    /**
     * Returns the attempt to evict from a full queue in favour of {@code newcomer}, or null if {@code newcomer} must be
     * refused. The candidate is the newest attempt of the organisation with the most queued attempts, in the lowest
     * priority below that of {@code newcomer}. If there is none, it is taken from the same priority, provided that its
     * organisation has more attempts queued than that of {@code newcomer} would have.
     */
    public @Nullable AttemptDescriptor evictionCandidateFor(AttemptDescriptor newcomer) {
        AttemptDescriptor lowest = null;
        for (Map.Entry<Priority, DeficitRoundRobinQueue> entry : queuesByPriority.entrySet()) {
            if (entry.getKey().compareTo(newcomer.priority()) > 0) {
                AttemptDescriptor candidate = entry.getValue().newestOfLongestQueue();
                lowest = candidate == null ? lowest : candidate;
            }
        }
        if (lowest != null) {
            return lowest;
        }
        DeficitRoundRobinQueue queue = queueFor(newcomer.priority());
        AttemptDescriptor evictionCandidate = queue.newestOfLongestQueue();
        if (evictionCandidate == null
                || queue.waiting(evictionCandidate.organisation()) <= queue.waiting(newcomer.organisation()) + 1) {
            return null;
        }
        return evictionCandidate;
    }

    /** Returns an estimate of how many queued attempts would be served before a new one. */
    public int attemptsAhead(String organisation, Priority priority) {
        int ahead = queueFor(priority).attemptsAhead(organisation);
        for (WaitingAttempt entry : waiting.values()) {
            if (entry.attempt().priority().compareTo(priority) < 0) {
                ahead++;
            }
        }
        return ahead;
    }

    /** Returns the attempts that have waited for at least {@code maxWaitMillis}, oldest first. */
    public List<AttemptDescriptor> waitingLongerThan(long maxWaitMillis, long nowMillis) {
        List<AttemptDescriptor> found = new ArrayList<>();
        for (WaitingAttempt entry : waiting.values()) {
            if (nowMillis - entry.enqueuedMillis() < maxWaitMillis) {
                break;
            }
            found.add(entry.attempt());
        }
        return found;
    }

    /** Returns all queued attempts, oldest first. */
    public List<AttemptDescriptor> waitingAttempts() {
        return waiting.values().stream().map(WaitingAttempt::attempt).toList();
    }

    /** Returns the number of queued attempts. */
    public int size() {
        return waiting.size();
    }

    /** Returns the total size of the queued request bodies, in bytes. */
    public long queuedBytes() {
        return queuedBytes;
    }

    /** Returns the total tokens of the queued attempts. */
    public long queuedTokens() {
        return queuedTokens;
    }

    private void unregister(AttemptDescriptor attempt) {
        waiting.remove(attempt.id());
        queuedBytes -= attempt.bodyBytes();
        queuedTokens -= attempt.tokens();
    }

    private DeficitRoundRobinQueue queueFor(Priority priority) {
        DeficitRoundRobinQueue queue = queuesByPriority.get(priority);
        if (queue == null) {
            throw new IllegalStateException("no queue for priority " + priority);
        }
        return queue;
    }

    private record WaitingAttempt(AttemptDescriptor attempt, long enqueuedMillis) {}
}
