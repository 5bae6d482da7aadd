package firwheel.table;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.standin.LaggingHostList;
import firwheel.standin.VirtualTime;
import firwheel.store.HostList.HostEntry;
import firwheel.table.Membership.MemberState;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

final class MembershipTest {
    private final VirtualTime time = new VirtualTime();
    private final LaggingHostList list = new LaggingHostList(time, Duration.ofSeconds(30));
    private final Membership membership = new Membership(time);

    private static Peer peer(long incarnation) {
        return new Peer("h", "a", Peer.Role.ENTRY, incarnation);
    }

    private void readList() {
        membership.onHostList(list.hosts().join());
    }

    @Test
    void linkedHostIsLiveBeforeHostListShowsIt() {
        list.set(List.of(new HostEntry("h", "a", "entry", false)));
        membership.onLinkUp(peer(1));
        readList();
        assertThat(membership.stateOf("h")).isEqualTo(MemberState.LIVE);
        assertThat(membership.linkedEntryCount("a")).isEqualTo(1);
    }

    @Test
    void silentPeerIsSuspectUntilNextFrame() {
        membership.onLinkUp(peer(1));
        time.runFor(Duration.ofSeconds(2));
        assertThat(membership.stateOf("h")).isEqualTo(MemberState.SUSPECT);
        assertThat(membership.livePeers()).isEmpty();
        assertThat(membership.linkedPeers()).hasSize(1);
        membership.onFrameReceived(peer(1));
        assertThat(membership.stateOf("h")).isEqualTo(MemberState.LIVE);
    }

    @Test
    void restartedPeerReplacesEarlierIncarnation() {
        membership.onLinkUp(peer(1));
        membership.onLinkUp(peer(2));
        membership.onLinkDown(peer(1));
        assertThat(membership.linkedPeers()).containsExactly(peer(2));
        time.runFor(Duration.ofSeconds(2));
        membership.onFrameReceived(peer(1));
        assertThat(membership.stateOf("h")).isEqualTo(MemberState.SUSPECT);
    }

    @Test
    void unreachableHostIsDialledWithBackoffAndRemovedWithTheList() {
        list.set(List.of(new HostEntry("h", "a", "entry", false)));
        time.runFor(Duration.ofSeconds(31));
        readList();
        assertThat(membership.addressesToDial()).containsExactly("h");
        membership.onDialFailed("h");
        assertThat(membership.addressesToDial()).isEmpty();
        time.runFor(Duration.ofMillis(250));
        assertThat(membership.addressesToDial()).containsExactly("h");
        membership.onDialFailed("h");
        time.runFor(Duration.ofMillis(250));
        assertThat(membership.addressesToDial()).isEmpty();
        membership.onHostList(List.of());
        assertThat(membership.stateOf("h")).isNull();
    }
}
