package firwheel.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import firwheel.wire.MeshMessage.Member;
import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class MembershipTest {
    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final Membership membership = new Membership(time, new Random(1), "10.0.0.1");

    private static Member member(String ip, long incarnation, long heartbeatSequence) {
        return new Member(ip, "zone-a", "entry", incarnation, heartbeatSequence);
    }

    @Nested
    final class Known {
        @Test
        void includesLiveMemberWhoseHeartbeatsArriveLate() {
            membership.merge(member("10.0.0.2", 1, 5));
            time.advance(Duration.ofSeconds(12));

            assertThat(membership.known("entry")).hasSize(1);
            assertThat(membership.known("entry", "zone-a")).hasSize(1);
            assertThat(membership.known("entry", "zone-b")).isEmpty();
        }

        @Test
        void excludesMemberThatIsGoneForLong() {
            membership.merge(member("10.0.0.2", 1, 5));
            time.advance(Duration.ofSeconds(61));

            assertThat(membership.known("entry")).isEmpty();
        }
    }

    @Nested
    final class Heard {
        @Test
        void excludesMemberThatIsAliveButCutOff() {
            membership.merge(member("10.0.0.2", 1, 5));
            membership.merge(member("10.0.0.3", 1, 5));
            time.advance(Duration.ofSeconds(4));
            membership.merge(member("10.0.0.3", 1, 9));

            assertThat(membership.alive("entry")).hasSize(2);
            assertThat(membership.heard("entry")).containsExactly(member("10.0.0.3", 1, 9));
            assertThat(membership.heard("agent")).isEmpty();
        }
    }

    @Nested
    final class Alive {
        @Test
        void excludesMemberWhoseHeartbeatStopsRising() {
            membership.merge(member("10.0.0.2", 1, 5));
            time.advance(Duration.ofSeconds(6));
            membership.merge(member("10.0.0.2", 1, 5));
            time.advance(Duration.ofSeconds(3));

            assertThat(membership.alive()).isEmpty();
        }

        @Test
        void includesMemberWhileItsHeartbeatRises() {
            for (int sequence = 1; sequence <= 10; sequence++) {
                membership.merge(member("10.0.0.2", 1, sequence));
                time.advance(Duration.ofSeconds(2));
            }

            assertThat(membership.alive("entry")).hasSize(1);
            assertThat(membership.alive("agent")).isEmpty();
        }

        @Test
        void acceptsLaterIncarnationWithLowerHeartbeat() {
            membership.merge(member("10.0.0.2", 1, 500));
            time.advance(Duration.ofSeconds(9));
            membership.merge(member("10.0.0.2", 2, 1));
            membership.merge(member("10.0.0.2", 1, 501));

            assertThat(membership.alive()).containsExactly(member("10.0.0.2", 2, 1));
        }

        @Test
        void excludesSelf() {
            membership.merge(member("10.0.0.1", 1, 1));

            assertThat(membership.alive()).isEmpty();
        }
    }

    @Nested
    final class HeartbeatPeers {
        @Test
        void includesMembersNoLongerAlive() {
            membership.merge(member("10.0.0.2", 1, 1));
            time.advance(Duration.ofSeconds(20));

            assertThat(membership.heartbeatPeers(3)).hasSize(1);
        }

        @Test
        void dropsMembersAfterOneMinute() {
            membership.merge(member("10.0.0.2", 1, 1));
            time.advance(Duration.ofSeconds(61));

            assertThat(membership.heartbeatPeers(3)).isEmpty();
        }
    }
}
