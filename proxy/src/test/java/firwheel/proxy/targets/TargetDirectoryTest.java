package firwheel.proxy.targets;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TargetDirectoryTest {
    private final List<Integer> servingAtRetirement = new ArrayList<>();
    private final TargetDirectory directory = new TargetDirectory(retired -> recordServing());

    private void recordServing() {
        servingAtRetirement.add(directory.serving("svc").size());
    }

    @Nested
    final class Retirement {
        @Test
        void isNotifiedWhenTheTargetIsNoLongerListed() {
            Target target = new Target("i-1", 7, "svc", "10.0.0.9", 80, "zone-a", 8, false, null);
            directory.put(target);
            directory.remove("i-1");
            directory.put(target);
            directory.markLeaving(target.key());

            assertThat(servingAtRetirement).containsExactly(0, 0);
        }
    }

    /** After a restart a target has another identifier, and its earlier registration lapses seconds later. */
    @Nested
    final class LaterProcessAtTheSameAddress {
        private Target startedAt(String id, long startedMillis) {
            return new Target(id, startedMillis, "svc", "10.0.0.9", 80, "zone-a", 8, false, null);
        }

        @Test
        void takesTheRequestsOfTheEarlierOne() {
            directory.put(startedAt("i-1", 7));
            directory.put(startedAt("i-2", 8));
            directory.put(startedAt("i-1", 7));

            assertThat(directory.serving("svc")).extracting(Target::instanceId).containsExactly("i-2");
            assertThat(directory.findByAddress("10.0.0.9", 80)).isEqualTo(startedAt("i-2", 8));
        }

        /** The number alone may have been written by anyone. */
        @Test
        void doesNotDisplaceATargetOfAnotherServiceOrRank() {
            GroupMembership rank = new GroupMembership("g", 1, 2, true);
            directory.put(new Target("i-1", 7, "svc", "10.0.0.9", 80, "zone-a", 8, false, rank));
            directory.put(new Target("i-2", 8, "other", "10.0.0.9", 80, "zone-a", 8, false, null));
            GroupMembership otherRank = new GroupMembership("g", 1, 3, true);
            directory.put(new Target("i-3", 9, "svc", "10.0.0.9", 80, "zone-a", 8, false, otherRank));
            directory.put(new Target("i-4", 10, "svc", "10.0.0.9", 80, "zone-a", 8, true, rank));

            assertThat(directory.serving("svc")).extracting(Target::instanceId).contains("i-1");
        }

        @Test
        void isNotUsedInItsPlaceIfAnotherProcessRespondsThere() {
            directory.put(startedAt("i-1", 7));
            directory.put(startedAt("i-2", 8));

            assertThat(directory.onClaimRefuted(startedAt("i-2", 8), "test"))
                    .containsExactly(startedAt("i-1", 7).key());
            directory.put(startedAt("i-2", 8));
            assertThat(directory.serving("svc")).extracting(Target::instanceId).contains("i-1");
        }

        @Test
        void displacesItForGoodOnceItHasResponded() {
            directory.put(startedAt("i-1", 7));
            directory.put(startedAt("i-2", 8));
            directory.onPresent(startedAt("i-2", 8));

            assertThat(directory.onClaimRefuted(startedAt("i-2", 8), "test")).isEmpty();
            assertThat(directory.serving("svc")).extracting(Target::instanceId).containsExactly("i-2");
        }

        @Test
        void doesNotDisplaceItIfTheClockWasSetBack() {
            directory.put(startedAt("i-1", 7));
            directory.put(startedAt("i-2", 6));

            assertThat(directory.serving("svc")).extracting(Target::instanceId).contains("i-2");
        }

        @Test
        void doesNotAffectOtherPorts() {
            directory.put(startedAt("i-1", 7));
            directory.put(new Target("i-2", 8, "svc", "10.0.0.9", 81, "zone-a", 8, false, null));

            assertThat(directory.serving("svc")).hasSize(2);
        }
    }
}
