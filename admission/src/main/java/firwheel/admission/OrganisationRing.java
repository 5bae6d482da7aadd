package firwheel.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Deficit round robin over the organisations of one priority (Shreedhar and Varghese, SIGCOMM 1995), with one change: an
 * organisation that was idle keeps a bounded credit for the rounds it missed, so that a short burst of a small one is
 * not held to half of the target while a large one floods it. The cost of an attempt is its tokens.
 */
final class OrganisationRing {
    private static final int QUANTUM_TOKENS = 1024;
    private static final int MAX_ORGANISATIONS = 1024;

    private long maxCreditTokens;
    private final Map<String, Share> shares = new HashMap<>();
    private final ArrayDeque<Share> active = new ArrayDeque<>();
    private long servedPerShareTokens;

    OrganisationRing(long maxCreditTokens) {
        this.maxCreditTokens = maxCreditTokens;
    }

    void setMaxCreditTokens(long newMaxCreditTokens) {
        maxCreditTokens = newMaxCreditTokens;
    }

    void add(AttemptDescriptor ticket) {
        Share share = shares.computeIfAbsent(ticket.organisation(), name -> new Share());
        if (share.waiting.isEmpty()) {
            activate(share, ticket.tokens());
        }
        share.waiting.addLast(ticket);
        if (shares.size() > MAX_ORGANISATIONS) {
            forgetOneIdle();
        }
    }

    /** Returns the attempt whose turn it is without taking it. */
    @Nullable
    AttemptDescriptor peek() {
        while (!active.isEmpty()) {
            Share share = active.getFirst();
            AttemptDescriptor head = share.waiting.getFirst();
            if (share.deficitTokens >= head.tokens()) {
                return head;
            }
            active.addLast(active.removeFirst());
            share.deficitTokens += QUANTUM_TOKENS;
        }
        return null;
    }

    /** Takes the attempt that {@link #peek} returned last. */
    void take(AttemptDescriptor head) {
        Share share = Objects.requireNonNull(shares.get(head.organisation()));
        servedPerShareTokens += head.tokens() / active.size();
        share.deficitTokens -= head.tokens();
        share.waiting.removeFirst();
        deactivateIfEmpty(share);
    }

    void remove(AttemptDescriptor ticket) {
        Share share = shares.get(ticket.organisation());
        if (share != null && share.waiting.remove(ticket)) {
            deactivateIfEmpty(share);
        }
    }

    int waiting(String organisation) {
        Share share = shares.get(organisation);
        return share == null ? 0 : share.waiting.size();
    }

    /** Returns how many attempts would be served before a new one of this organisation. */
    int ahead(String organisation) {
        int turns = waiting(organisation) + 1;
        int ahead = waiting(organisation);
        for (Map.Entry<String, Share> entry : shares.entrySet()) {
            if (!entry.getKey().equals(organisation)) {
                ahead += Math.min(turns, entry.getValue().waiting.size());
            }
        }
        return ahead;
    }

    /** Returns the newest attempt of the organisation that has most waiting, or null when none waits. */
    @Nullable
    AttemptDescriptor newestOfLongest() {
        Share longest = null;
        for (Share share : active) {
            if (longest == null || share.waiting.size() > longest.waiting.size()) {
                longest = share;
            }
        }
        return longest == null ? null : longest.waiting.getLast();
    }

    private void activate(Share share, int firstTokens) {
        long missedTokens = servedPerShareTokens - share.idleSinceTokens;
        share.deficitTokens = Math.min(maxCreditTokens, share.deficitTokens + missedTokens);
        if (share.deficitTokens >= firstTokens) {
            active.addFirst(share);
        } else {
            active.addLast(share);
        }
    }

    private void deactivateIfEmpty(Share share) {
        if (share.waiting.isEmpty()) {
            active.remove(share);
            share.idleSinceTokens = servedPerShareTokens;
        }
    }

    private void forgetOneIdle() {
        Iterator<Share> all = shares.values().iterator();
        while (all.hasNext()) {
            if (all.next().waiting.isEmpty()) {
                all.remove();
                return;
            }
        }
    }

    private final class Share {
        private final Deque<AttemptDescriptor> waiting = new ArrayDeque<>();
        private long deficitTokens;
        private long idleSinceTokens = servedPerShareTokens;
    }
}
