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
 * View of the cluster's processes, combining the platform's lagging host list with the state of the links. A link that
 * delivers frames shows its peer to be live, whatever the host list says; a peer whose link is silent is suspect; a
 * listed host that cannot be reached is dialled with exponential backoff. Control thread only.
 */
public final class Membership {
    private static final long SUSPECT_AFTER_NANOS = Duration.ofMillis(1_500).toNanos();
    private static final long INITIAL_REDIAL_DELAY_NANOS =
            Duration.ofMillis(250).toNanos();
    private static final int MAX_REDIAL_DOUBLINGS = 4;

    private final TimeSource time;
    private final Map<String, Member> members = new HashMap<>();

    /** Creates an empty membership. */
    public Membership(TimeSource time) {
        this.time = time;
    }

    /** State of a member. */
    public enum MemberState {
        /** The link delivers frames. */
        LIVE,
        /** The link is up but silent. */
        SUSPECT,
        /** The host is listed but has no link. */
        LISTED
    }

    /**
     * Updates the members from the platform's host list. Hosts that are no longer listed are kept while their links are
     * up.
     */
    public void onHostList(List<HostEntry> list) {
        Set<String> listed = new HashSet<>();
        for (HostEntry entry : list) {
            listed.add(entry.ip());
            member(entry.ip()).onListed(entry);
        }
        members.forEach((address, member) -> member.listed = listed.contains(address));
        members.values().removeIf(Member::isRemovable);
    }

    /** Handles a new link. A restarted process at the same address replaces the earlier incarnation. */
    public void onLinkUp(Peer peer) {
        Member member = member(peer.address());
        member.peer = peer;
        member.lastFrameNanos = time.monotonicNanos();
        member.failedDials = 0;
    }

    /** Handles the end of a link; ignored when a newer incarnation at the address already has a link. */
    public void onLinkDown(Peer peer) {
        Member member = members.get(peer.address());
        if (member != null && peer.equals(member.peer)) {
            member.peer = null;
            member.nextDialNanos = time.monotonicNanos();
        }
        members.values().removeIf(Member::isRemovable);
    }

    /** Handles a frame of any type from a peer. */
    public void onFrameReceived(Peer peer) {
        Member member = members.get(peer.address());
        if (member != null && peer.equals(member.peer)) {
            member.lastFrameNanos = time.monotonicNanos();
        }
    }

    /** Handles a failed dial and delays the next one with exponential backoff. */
    public void onDialFailed(String address) {
        Member member = member(address);
        long redialDelayNanos = INITIAL_REDIAL_DELAY_NANOS << Math.min(member.failedDials, MAX_REDIAL_DOUBLINGS);
        member.failedDials++;
        member.nextDialNanos = time.monotonicNanos() + redialDelayNanos;
    }

    /** Returns the peers whose links are up, including suspects, since a suspect may only be slow. */
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

    /** Returns the peers that are live. */
    public List<Peer> livePeers() {
        return linkedPeers().stream()
                .filter(peer -> stateOf(peer.address()) == MemberState.LIVE)
                .toList();
    }

    /**
     * Returns the number of entries of a zone whose links are up, excluding this process. Leaving entries are excluded,
     * since they take no share of the polling.
     */
    public int linkedEntryCount(String availabilityZone) {
        return (int) linkedPeers().stream()
                .filter(peer -> peer.role() == Peer.Role.ENTRY)
                .filter(peer -> peer.availabilityZone().equals(availabilityZone))
                .filter(peer -> !member(peer.address()).leaving)
                .count();
    }

    /** Returns the addresses of the listed hosts without a link whose next dial is due. */
    public List<String> addressesToDial() {
        long now = time.monotonicNanos();
        return members.entrySet().stream()
                .filter(entry -> entry.getValue().isDialDue(now))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Returns the state of a host; null when the host is unknown. */
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
