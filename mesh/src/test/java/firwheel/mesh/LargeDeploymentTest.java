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
import org.junit.jupiter.api.Test;

/** Heartbeats of as many processes as the largest deployment in use has, with the fanout and sample of {@link Mesh}. */
final class LargeDeploymentTest {
    private static final int PROCESSES = 123;
    private static final int FANOUT = 2;
    private static final int SAMPLE = 24;
    private static final int ROUNDS = 120;

    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final Map<String, Membership> memberships = new HashMap<>();

    private void runHeartbeats() {
        for (int round = 0; round < ROUNDS; round++) {
            for (Map.Entry<String, Membership> sender : memberships.entrySet()) {
                Member self = member(sender.getKey(), round);
                List<Member> content = new ArrayList<>(sender.getValue().sample(SAMPLE));
                content.add(self);
                for (Member peer : sender.getValue().heartbeatPeers(FANOUT)) {
                    content.forEach(Objects.requireNonNull(memberships.get(peer.ip()))::merge);
                }
            }
            time.advance(Duration.ofSeconds(1));
        }
    }

    private static Member member(String ip, long heartbeatSequence) {
        return new Member(ip, "zone-a", "agent", 1, heartbeatSequence);
    }

    @Nested
    final class Known {
        @Test
        void includesEveryLiveProcessAtEveryProcess() {
            for (int i = 0; i < PROCESSES; i++) {
                String ip = "10.0.0." + i;
                memberships.put(ip, new Membership(time, new Random(i), ip));
            }
            memberships
                    .values()
                    .forEach(membership -> memberships.keySet().forEach(ip -> membership.merge(member(ip, 0))));

            runHeartbeats();

            assertThat(memberships.values()).allSatisfy(membership -> assertThat(membership.known("agent"))
                    .hasSize(PROCESSES - 1));
        }
    }
}
