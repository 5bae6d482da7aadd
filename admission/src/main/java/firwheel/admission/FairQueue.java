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
    private final Map<Priority, OrganisationRing> rings = new EnumMap<>(Priority.class);
    private final Map<AttemptId, Waiting> waiting = new LinkedHashMap<>();
    private long queuedBytes;
    private long queuedTokens;

    /** Creates an empty queue; an idle organisation saves up at most {@code maxCreditTokens}. */
    public FairQueue(long maxCreditTokens) {
        for (Priority priority : Priority.values()) {
            rings.put(priority, new OrganisationRing(maxCreditTokens));
        }
    }

    /** Changes how much an idle organisation saves up. */
    public void setMaxCreditTokens(long maxCreditTokens) {
        rings.values().forEach(ring -> ring.setMaxCreditTokens(maxCreditTokens));
    }

    /** Adds an attempt. */
    public void add(AttemptDescriptor ticket, long nowMillis) {
        waiting.put(ticket.id(), new Waiting(ticket, nowMillis));
        queuedBytes += ticket.bodyBytes();
        queuedTokens += ticket.tokens();
        ring(ticket.priority()).add(ticket);
    }

    /** Returns the attempt whose turn it is, or null when none waits. */
    public @Nullable AttemptDescriptor peek() {
        for (OrganisationRing ring : rings.values()) {
            AttemptDescriptor head = ring.peek();
            if (head != null) {
                return head;
            }
        }
        return null;
    }

    /** Takes the attempt that {@link #peek} returned last. */
    public void take(AttemptDescriptor head) {
        ring(head.priority()).take(head);
        forget(head);
    }

    /** Removes an attempt out of turn; returns whether it waited. */
    public boolean remove(AttemptId id) {
        Waiting found = waiting.get(id);
        if (found == null) {
            return false;
        }
        ring(found.ticket().priority()).remove(found.ticket());
        forget(found.ticket());
        return true;
    }

    /** Returns the attempt that gives way to {@code newcomer} in a full queue, or null when the newcomer must. */
    public @Nullable AttemptDescriptor victimFor(AttemptDescriptor newcomer) {
        AttemptDescriptor lowest = null;
        for (Map.Entry<Priority, OrganisationRing> entry : rings.entrySet()) {
            if (entry.getKey().compareTo(newcomer.priority()) > 0) {
                AttemptDescriptor candidate = entry.getValue().newestOfLongest();
                lowest = candidate == null ? lowest : candidate;
            }
        }
        if (lowest != null) {
            return lowest;
        }
        OrganisationRing ring = ring(newcomer.priority());
        AttemptDescriptor victim = ring.newestOfLongest();
        if (victim == null || ring.waiting(victim.organisation()) <= ring.waiting(newcomer.organisation()) + 1) {
            return null;
        }
        return victim;
    }

    /** Returns how many attempts would be served before a new one. */
    public int ahead(String organisation, Priority priority) {
        int ahead = ring(priority).ahead(organisation);
        for (Waiting entry : waiting.values()) {
            if (entry.ticket().priority().compareTo(priority) < 0) {
                ahead++;
            }
        }
        return ahead;
    }

    /** Returns the attempts that have waited longer than {@code maxWaitMillis}, oldest first. */
    public List<AttemptDescriptor> waitingLongerThan(long maxWaitMillis, long nowMillis) {
        List<AttemptDescriptor> found = new ArrayList<>();
        for (Waiting entry : waiting.values()) {
            if (nowMillis - entry.sinceMillis() < maxWaitMillis) {
                break;
            }
            found.add(entry.ticket());
        }
        return found;
    }

    /** Returns all waiting attempts, oldest first. */
    public List<AttemptDescriptor> all() {
        return waiting.values().stream().map(Waiting::ticket).toList();
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

    private void forget(AttemptDescriptor ticket) {
        waiting.remove(ticket.id());
        queuedBytes -= ticket.bodyBytes();
        queuedTokens -= ticket.tokens();
    }

    private OrganisationRing ring(Priority priority) {
        OrganisationRing ring = rings.get(priority);
        if (ring == null) {
            throw new IllegalStateException("no ring for " + priority);
        }
        return ring;
    }

    private record Waiting(AttemptDescriptor ticket, long sinceMillis) {}
}
