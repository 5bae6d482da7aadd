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
    private static final long SUSPECT_AFTER_NANOS = Duration.ofMillis(1_500).toNanos();
    private static final long INITIAL_REDIAL_DELAY_NANOS =
            Duration.ofMillis(250).toNanos();
    private static final int MAX_REDIAL_DOUBLINGS = 4;

    private final TimeSource time;
    private final Map<String, Member> members = new HashMap<>();

    /** Creates a membership that knows nobody. */
    public Membership(TimeSource time) {
        this.time = time;
    }

    /** What is known of a host. */
    public enum MemberState {
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
        members.values().removeIf(Member::isRemovable);
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
        members.values().removeIf(Member::isRemovable);
    }

    /** Takes any frame from a peer. */
    public void onFrameReceived(Peer peer) {
        Member member = members.get(peer.address());
        if (member != null && peer.equals(member.peer)) {
            member.lastFrameNanos = time.monotonicNanos();
        }
    }

    /** Takes a failed attempt to connect and puts off the next one. */
    public void onDialFailed(String address) {
        Member member = member(address);
        long redialDelayNanos = INITIAL_REDIAL_DELAY_NANOS << Math.min(member.failedDials, MAX_REDIAL_DOUBLINGS);
        member.failedDials++;
        member.nextDialNanos = time.monotonicNanos() + redialDelayNanos;
    }

    /** Returns the peers whose links are up, suspects included: a suspect may only be slow. */
    public List<Peer> linkedPeers() {
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
    public List<Peer> livePeers() {
        return linkedPeers().stream()
                .filter(peer -> stateOf(peer.address()) == MemberState.LIVE)
                .toList();
    }

    /**
     * Returns the number of entries of a zone whose links are up, not counting this process; leaving ones share no work.
     */
    public int linkedEntryCount(String availabilityZone) {
        return (int) linkedPeers().stream()
                .filter(peer -> peer.role() == Peer.Role.ENTRY)
                .filter(peer -> peer.availabilityZone().equals(availabilityZone))
                .filter(peer -> !member(peer.address()).leaving)
                .count();
    }

    /** Returns the listed hosts without a link that are due to be dialled. */
    public List<String> addressesToDial() {
        long now = time.monotonicNanos();
        return members.entrySet().stream()
                .filter(entry -> entry.getValue().isDialDue(now))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Returns what is known of a host; null when nothing is. */
    public @Nullable MemberState stateOf(String address) {
        Member member = members.get(address);
        if (member == null) {
            return null;
        }
        if (member.peer == null) {
            return MemberState.LISTED;
        }
        boolean silent = time.monotonicNanos() - member.lastFrameNanos > SUSPECT_AFTER_NANOS;
        return silent ? MemberState.SUSPECT : MemberState.LIVE;
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

        boolean isDialDue(long nowNanos) {
            return peer == null && listed && !leaving && nowNanos >= nextDialNanos;
        }

        boolean isRemovable() {
            return peer == null && !listed;
        }
    }
}
