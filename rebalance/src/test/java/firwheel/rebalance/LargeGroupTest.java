package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Controllers of groups of the largest sizes in use, on hosts with the narrowest links in use. */
final class LargeGroupTest {
    private static final NarrowlyLinkedGroup.Size SIZE_63 =
            new NarrowlyLinkedGroup.Size(63, 8, 252, 5, 700_000); // 5.6 Mbit/s
    private static final NarrowlyLinkedGroup.Size SIZE_129 =
            new NarrowlyLinkedGroup.Size(129, 16, 258, 3, 525_000); // 4.2 Mbit/s

    @Nested
    final class NarrowControllerLink {
        private final NarrowlyLinkedGroup group = new NarrowlyLinkedGroup(SIZE_63);

        @AfterEach
        void close() {
            group.close();
        }

        @Test
        void doesNotKeepControllerFromRollingOutMap() throws Exception {
            group.awaitMap();

            assertThat(group.mapVersion()).isPositive();
            assertThat(group.mapsDiverged()).isFalse();
        }

        /** At 5.6 Mbit/s the placement takes a quarter of a second to all ranks, during which demand may shift. */
        @Test
        void doesNotCarryThePlacementToEachRank() throws Exception {
            group.awaitMap();

            assertThat(group.mapVersion()).isPositive();
            assertThat(group.controllerBytesSent()).isLessThan(63 * SIZE_63.placementSlots() / 2);
        }

        @Test
        void doesNotMakeControllerBypassAgentsThatRespond() throws Exception {
            group.awaitMap();

            assertThat(group.bypassedAgents()).isZero();
        }
    }

    @Nested
    final class NarrowLinksOf129Ranks {
        private final NarrowlyLinkedGroup group = new NarrowlyLinkedGroup(SIZE_129);

        @AfterEach
        void close() {
            group.close();
        }

        @Test
        void doNotKeepControllerFromRollingOutMap() throws Exception {
            group.awaitMap();

            assertThat(group.mapVersion()).isPositive();
            assertThat(group.mapsDiverged()).isFalse();
        }

        @Test
        void doNotCarryThePlacementToEachRank() throws Exception {
            group.awaitMap();

            assertThat(group.mapVersion()).isPositive();
            assertThat(group.controllerBytesSent()).isLessThan(129 * SIZE_129.placementSlots() / 2);
        }
    }
}
