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
 * Queue of one gate: strict between priorities, fair between the organisations inside each. Bounded by its owner's limits
 * in count and bytes; when it is full the longest share gives way. Not thread-safe.
 */
public final class FairQueue {
    private final Map<Priority, DeficitRoundRobinQueue> queuesByPriority = new EnumMap<>(Priority.class);
    private final Map<AttemptId, WaitingAttempt> waiting = new LinkedHashMap<>();
    private long queuedBytes;
    private long queuedTokens;

    /** Creates an empty queue; an idle organisation saves up at most {@code maxCreditTokens}. */
    public FairQueue(long maxCreditTokens) {
        for (Priority priority : Priority.values()) {
            queuesByPriority.put(priority, new DeficitRoundRobinQueue(maxCreditTokens));
        }
    }

    /** Changes how much an idle organisation saves up. */
    public void setMaxCreditTokens(long maxCreditTokens) {
        queuesByPriority.values().forEach(queue -> queue.setMaxCreditTokens(maxCreditTokens));
    }

    /** Adds an attempt. */
    public void add(AttemptDescriptor attempt, long nowMillis) {
        waiting.put(attempt.id(), new WaitingAttempt(attempt, nowMillis));
        queuedBytes += attempt.bodyBytes();
        queuedTokens += attempt.tokens();
        queueFor(attempt.priority()).add(attempt);
    }

    /** Returns the attempt whose turn it is, or null when none waits. */
    public @Nullable AttemptDescriptor peek() {
        for (DeficitRoundRobinQueue queue : queuesByPriority.values()) {
            AttemptDescriptor head = queue.peek();
            if (head != null) {
                return head;
            }
        }
        return null;
    }

    /** Takes the attempt that {@link #peek} returned last. */
    public void take(AttemptDescriptor head) {
        queueFor(head.priority()).take(head);
        unregister(head);
    }

    /** Removes an attempt out of turn; returns whether it waited. */
    public boolean remove(AttemptId id) {
        WaitingAttempt found = waiting.get(id);
        if (found == null) {
            return false;
        }
        queueFor(found.attempt().priority()).remove(found.attempt());
        unregister(found.attempt());
        return true;
    }

    /** Returns the attempt that gives way to {@code newcomer} in a full queue, or null when the newcomer must. */
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
        AttemptDescriptor victim = queue.newestOfLongestQueue();
        if (victim == null || queue.waiting(victim.organisation()) <= queue.waiting(newcomer.organisation()) + 1) {
            return null;
        }
        return victim;
    }

    /** Returns how many attempts would be served before a new one. */
    public int attemptsAhead(String organisation, Priority priority) {
        int ahead = queueFor(priority).attemptsAhead(organisation);
        for (WaitingAttempt entry : waiting.values()) {
            if (entry.attempt().priority().compareTo(priority) < 0) {
                ahead++;
            }
        }
        return ahead;
    }

    /** Returns the attempts that have waited longer than {@code maxWaitMillis}, oldest first. */
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

    /** Returns all waiting attempts, oldest first. */
    public List<AttemptDescriptor> waitingAttempts() {
        return waiting.values().stream().map(WaitingAttempt::attempt).toList();
    }

    /** Returns the number of waiting attempts. */
    public int size() {
        return waiting.size();
    }

    /** Returns the bytes of waiting request bodies. */
    public long queuedBytes() {
        return queuedBytes;
    }

    /** Returns the tokens of waiting attempts. */
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
            throw new IllegalStateException("no ring for " + priority);
        }
        return queue;
    }

    private record WaitingAttempt(AttemptDescriptor attempt, long enqueuedMillis) {}
}
