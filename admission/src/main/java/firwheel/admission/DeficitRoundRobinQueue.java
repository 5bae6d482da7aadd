package firwheel.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Deficit round robin over the organisations of one priority (Shreedhar and Varghese, SIGCOMM 1995), with one change:
 * an idle organisation accumulates a bounded credit for the rounds it missed. Without it, a short burst of a small
 * organisation would get only half of the target's capacity while a large one floods the target. The cost of an attempt
 * is its tokens.
 */
final class DeficitRoundRobinQueue {
    private static final int QUANTUM_TOKENS = 1024;
    private static final int MAX_ORGANISATIONS = 1024;

    private long maxCreditTokens;
    private final Map<String, OrganisationQueue> queues = new HashMap<>();
    private final ArrayDeque<OrganisationQueue> activeQueues = new ArrayDeque<>();
    private long servedTokensPerQueue;

    DeficitRoundRobinQueue(long maxCreditTokens) {
        this.maxCreditTokens = maxCreditTokens;
    }

    void setMaxCreditTokens(long newMaxCreditTokens) {
        maxCreditTokens = newMaxCreditTokens;
    }

    void add(AttemptDescriptor attempt) {
        OrganisationQueue queue = queues.computeIfAbsent(attempt.organisation(), name -> new OrganisationQueue());
        if (queue.waiting.isEmpty()) {
            activate(queue, attempt.tokens());
        }
        queue.waiting.addLast(attempt);
        if (queues.size() > MAX_ORGANISATIONS) {
            removeOneIdleQueue();
        }
    }

    /** Returns the next attempt to serve without removing it, or null if none is queued. */
    @Nullable
    AttemptDescriptor peek() {
        while (!activeQueues.isEmpty()) {
            OrganisationQueue queue = activeQueues.getFirst();
            AttemptDescriptor head = queue.waiting.getFirst();
            if (queue.deficitTokens >= head.tokens()) {
                return head;
            }
            activeQueues.addLast(activeQueues.removeFirst());
            queue.deficitTokens += QUANTUM_TOKENS;
        }
        return null;
    }

    /** Removes the attempt last returned by {@link #peek} and charges its tokens to its organisation. */
    void take(AttemptDescriptor head) {
        OrganisationQueue queue = Objects.requireNonNull(queues.get(head.organisation()));
        servedTokensPerQueue += head.tokens() / activeQueues.size();
        queue.deficitTokens -= head.tokens();
        queue.waiting.removeFirst();
        deactivateIfEmpty(queue);
    }

    void remove(AttemptDescriptor attempt) {
        OrganisationQueue queue = queues.get(attempt.organisation());
        if (queue != null && queue.waiting.remove(attempt)) {
            deactivateIfEmpty(queue);
        }
    }

    int waiting(String organisation) {
        OrganisationQueue queue = queues.get(organisation);
        return queue == null ? 0 : queue.waiting.size();
    }

    /** Returns an estimate of how many attempts would be served before a new one of this organisation. */
    int attemptsAhead(String organisation) {
        int turns = waiting(organisation) + 1;
        int ahead = waiting(organisation);
        for (Map.Entry<String, OrganisationQueue> entry : queues.entrySet()) {
            if (!entry.getKey().equals(organisation)) {
                ahead += Math.min(turns, entry.getValue().waiting.size());
            }
        }
        return ahead;
    }

    /** Returns the newest attempt of the organisation with the most queued attempts, or null if none is queued. */
    @Nullable
    AttemptDescriptor newestOfLongestQueue() {
        OrganisationQueue longestQueue = null;
        for (OrganisationQueue queue : activeQueues) {
            if (longestQueue == null || queue.waiting.size() > longestQueue.waiting.size()) {
                longestQueue = queue;
            }
        }
        return longestQueue == null ? null : longestQueue.waiting.getLast();
    }

    private void activate(OrganisationQueue queue, int firstTokens) {
        long missedTokens = servedTokensPerQueue - queue.servedTokensAtIdleStart;
        queue.deficitTokens = Math.min(maxCreditTokens, queue.deficitTokens + missedTokens);
        if (queue.deficitTokens >= firstTokens) {
            activeQueues.addFirst(queue);
        } else {
            activeQueues.addLast(queue);
        }
    }

    private void deactivateIfEmpty(OrganisationQueue queue) {
        if (queue.waiting.isEmpty()) {
            activeQueues.remove(queue);
            queue.servedTokensAtIdleStart = servedTokensPerQueue;
        }
    }

    private void removeOneIdleQueue() {
        Iterator<OrganisationQueue> all = queues.values().iterator();
        while (all.hasNext()) {
            if (all.next().waiting.isEmpty()) {
                all.remove();
                return;
            }
        }
    }

    private final class OrganisationQueue {
        private final Deque<AttemptDescriptor> waiting = new ArrayDeque<>();
        private long deficitTokens;
        private long servedTokensAtIdleStart = servedTokensPerQueue;
    }
}
