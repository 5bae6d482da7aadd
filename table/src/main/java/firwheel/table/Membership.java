package firwheel.table;

import firwheel.model.TimeSource;
import firwheel.store.HostList.HostEntry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Which processes are there, as far as this one can tell: the platform's lagging list joined with what links show.
 * A link that delivers frames proves life, whatever the list says; a silent link makes its peer suspect; a listed host
 * that cannot be reached is dialled less and less often. Control thread only.
 */
public final class Membership {
    private static final long SUSPECT_NANOS = Duration.ofMillis(1_500).toNanos();
    private static final long FIRST_REDIAL_NANOS = Duration.ofMillis(250).toNanos();
    private static final int MAX_DOUBLINGS = 4;

    private final TimeSource time;
    private final Map<String, Member> members = new HashMap<>();

    /** Creates a membership that knows nobody. */
    public Membership(TimeSource time) {
        this.time = time;
    }

    /** What is known of a host. */
    public enum Standing {
        /** Its link delivers frames. */
        LIVE,
        /** Its link is up and silent. */
        SUSPECT,
        /** It is listed and has no link. */
        LISTED
    }

    /** Takes a reading of the platform's list. Hosts that left the list stay known while their link is up. */
    public void onHostList(List<HostEntry> list) {
        Set<String> listed = new HashSet<>();
        for (HostEntry entry : list) {
            listed.add(entry.ip());
            member(entry.ip()).onListed(entry);
        }
        members.forEach((address, member) -> member.listed = listed.contains(address));
        members.values().removeIf(Member::forgotten);
    }

    /** Takes a new link. A process that was restarted at the same address replaces the earlier one. */
    public void onLinkUp(Peer peer) {
        Member member = member(peer.address());
        member.peer = peer;
        member.lastFrameNanos = time.monotonicNanos();
        member.failedDials = 0;
    }

    /** Takes the end of a link; ignored when a newer process at the address has a link already. */
    public void onLinkDown(Peer peer) {
        Member member = members.get(peer.address());
        if (member != null && peer.equals(member.peer)) {
            member.peer = null;
            member.nextDialNanos = time.monotonicNanos();
        }
        members.values().removeIf(Member::forgotten);
    }

    /** Takes any frame from a peer. */
    public void onFrame(Peer peer) {
        Member member = members.get(peer.address());
        if (member != null && peer.equals(member.peer)) {
            member.lastFrameNanos = time.monotonicNanos();
        }
    }

    /** Takes a failed attempt to connect and puts off the next one. */
    public void onDialFailed(String address) {
        Member member = member(address);
        long wait = FIRST_REDIAL_NANOS << Math.min(member.failedDials, MAX_DOUBLINGS);
        member.failedDials++;
        member.nextDialNanos = time.monotonicNanos() + wait;
    }

    /** Returns the peers whose links are up, suspects included: a suspect may only be slow. */
    public List<Peer> linked() {
        List<Peer> peers = new ArrayList<>();
        for (Member member : members.values()) {
            Peer peer = member.peer;
            if (peer != null) {
                peers.add(peer);
            }
        }
        return peers;
    }

    /** Returns the peers whose links deliver frames. */
    public List<Peer> live() {
        return linked().stream()
                .filter(peer -> standing(peer.address()) == Standing.LIVE)
                .toList();
    }

    /**
     * Returns the number of entries of a zone whose links are up, not counting this process; leaving ones share no work.
     */
    public int linkedEntries(String availabilityZone) {
        return (int) linked().stream()
                .filter(peer -> peer.role() == Peer.Role.ENTRY)
                .filter(peer -> peer.availabilityZone().equals(availabilityZone))
                .filter(peer -> !member(peer.address()).leaving)
                .count();
    }

    /** Returns the listed hosts without a link that are due to be dialled. */
    public List<String> toDial() {
        long now = time.monotonicNanos();
        return members.entrySet().stream()
                .filter(entry -> entry.getValue().due(now))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Returns what is known of a host; null when nothing is. */
    public @Nullable Standing standing(String address) {
        Member member = members.get(address);
        if (member == null) {
            return null;
        }
        if (member.peer == null) {
            return Standing.LISTED;
        }
        boolean silent = time.monotonicNanos() - member.lastFrameNanos > SUSPECT_NANOS;
        return silent ? Standing.SUSPECT : Standing.LIVE;
    }

    private Member member(String address) {
        return members.computeIfAbsent(address, key -> new Member());
    }

    private static final class Member {
        private @Nullable Peer peer;
        private boolean listed;
        private boolean leaving;
        private long lastFrameNanos;
        private long nextDialNanos = Long.MIN_VALUE;
        private int failedDials;

        void onListed(HostEntry entry) {
            leaving = entry.leaving();
        }

        boolean due(long nowNanos) {
            return peer == null && listed && !leaving && nowNanos >= nextDialNanos;
        }

        boolean forgotten() {
            return peer == null && !listed;
        }
    }
}
