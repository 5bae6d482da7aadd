package firwheel.experts.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Random schedules with message loss, duplication, reordering and delay, rank restarts and competing coordinators. */
class SwitchProtocolPropertyTest {
    private static final int SEEDS = Integer.getInteger("firwheel.seeds", 10_000);
    private static final RankProtocol RANK = new SwitchParticipant();
    private static final CoordinatorProtocol COORDINATOR = new SwitchCoordinator();

    @Test
    void runsNoStepUnderTwoMapsAndRecovers() {
        long committed = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SwitchScenario scenario = new SwitchScenario(seed, RANK, COORDINATOR);
            try {
                scenario.run();
            } catch (IllegalStateException e) {
                throw new AssertionError("seed " + seed, e);
            }
            committed += scenario.committed().size();
        }
        System.out.println(
                "switch protocol: " + SEEDS + " schedules, " + committed + " changes committed within epochs");
        assertThat(committed).isGreaterThan(SEEDS / 2);
    }

    /** Each seeded fault must be detected by a step that runs under two maps. */
    @Nested
    class SeededFaults {
        @Test
        void detectsRankThatIgnoresPendingProposals() {
            assertDetected(FaultyProtocols.ignoringPendingProposals(), COORDINATOR);
        }

        @Test
        void detectsRankThatIgnoresFencing() {
            assertDetected(FaultyProtocols.ignoringFencing(), COORDINATOR);
        }

        @Test
        void detectsCoordinatorThatCommitsOnMajority() {
            assertDetected(RANK, FaultyProtocols.committingOnMajority(COORDINATOR));
        }

        private void assertDetected(RankProtocol rank, CoordinatorProtocol coordinator) {
            long found = 0;
            long others = 0;
            for (int seed = 0; seed < SEEDS && found == 0; seed++) {
                try {
                    new SwitchScenario(seed, rank, coordinator).run();
                } catch (StepMapChecker.TwoMapsException e) {
                    found++;
                } catch (IllegalStateException e) {
                    others++;
                }
            }
            System.out.println("seeded fault: detected by other checks in " + others + " schedules before");
            assertThat(found).isPositive();
        }
    }
}
