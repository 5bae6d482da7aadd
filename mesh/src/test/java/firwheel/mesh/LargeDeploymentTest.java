package firwheel.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import firwheel.wire.MeshMessage.Member;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Heartbeats of many processes, with the fanout and sample of {@link Mesh}. */
final class LargeDeploymentTest {
    private static final int FANOUT = 2;
    private static final int SAMPLE = 24;
    private static final int ROUNDS = 120;

    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final Map<String, Membership> memberships = new HashMap<>();

    private void runHeartbeats(int processes) {
        for (int i = 0; i < processes; i++) {
            String ip = "10.0." + i / 250 + "." + i % 250;
            memberships.put(ip, new Membership(time, new Random(i), ip));
        }
        memberships.values().forEach(membership -> memberships.keySet().forEach(ip -> membership.merge(member(ip, 0))));
        for (int round = 1; round <= ROUNDS; round++) {
            sendHeartbeats(round);
            time.advance(Duration.ofSeconds(1));
        }
    }

    private void sendHeartbeats(long sequence) {
        for (Map.Entry<String, Membership> sender : memberships.entrySet()) {
            List<Member> content = new ArrayList<>(sender.getValue().sample(SAMPLE));
            content.add(member(sender.getKey(), sequence));
            for (Member peer : sender.getValue().heartbeatPeers(FANOUT)) {
                content.forEach(Objects.requireNonNull(memberships.get(peer.ip()))::merge);
            }
        }
    }

    private static Member member(String ip, long heartbeatSequence) {
        return new Member(ip, "zone-a", "agent", 1, heartbeatSequence);
    }

    private void assertEveryProcessKnowsAllOthers() {
        assertThat(memberships.values())
                .allSatisfy(membership -> assertThat(membership.known("agent")).hasSize(memberships.size() - 1));
    }

    @Nested
    final class Known {
        @Test
        void includesEveryProcessOfLargestDeploymentInUse() {
            runHeartbeats(123);

            assertEveryProcessKnowsAllOthers();
        }

        @Test
        @Tag("known-red")
        void includesEveryProcessOfDeploymentOfDesignSize() {
            runHeartbeats(410);

            assertEveryProcessKnowsAllOthers();
        }
    }
}
