package firwheel.bench.feeds;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.bench.feeds.FeedSimulation.Fault;
import firwheel.bench.feeds.FeedSimulation.Result;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The load is that of many entries which must all have each change in force within 2 s of its acknowledgement. */
final class FeedSimulationTest {
    private static final int ROUNDS = 20;
    private static final int SEEDS = 5;

    @Nested
    final class Changes {
        @ParameterizedTest
        @EnumSource
        void areInForceInTimeAtAllEntriesInTouch(Fault fault) {
            for (int entries : new int[] {1, 3, 16, 66}) {
                for (int seed = 1; seed <= SEEDS; seed++) {
                    Result result = FeedSimulation.run(FeedPolicy.oneReader(), entries, fault, ROUNDS, seed);

                    assertThat(result.late())
                            .as("late changes with %d entries, seed %d", entries, seed)
                            .isZero();
                }
            }
        }
    }

    @Nested
    final class Calls {
        @Test
        void areAFifthOrLessOfThoseOfEntriesThatReadForThemselves() {
            for (int entries : new int[] {16, 66}) {
                Result alone = FeedSimulation.run(FeedPolicy.independent(), entries, Fault.NONE, ROUNDS, 1);
                Result shared = FeedSimulation.run(FeedPolicy.oneReader(), entries, Fault.NONE, ROUNDS, 1);

                assertThat(shared.calls()).isLessThanOrEqualTo(alone.calls() / 5);
            }
        }
    }
}
