package firwheel.bench.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class CrashingPartSimulationTest {
    private static final int SEEDS = 50;
    private static final int ENTRIES = 13;
    private static final int ALLOWED_ARRIVALS = 3; // later than the contact time after the fifth crash

    static List<CrashingPartDay> days() {
        return CrashingPartDay.variants(ENTRIES);
    }

    static List<CrashingPartDay> soundDays() {
        return CrashingPartDay.soundVariants(ENTRIES);
    }

    @ParameterizedTest
    @MethodSource("days")
    void requestsWithThePartAreRefusedAndTheOthersServed(CrashingPartDay day) {
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashingPartResult result = CrashingPartSimulation.run(day, seed);

            assertThat(result.crashes()).as("seed %d", seed).isPositive();
            assertThat(result.lateArrivals()).as("seed %d", seed).isLessThanOrEqualTo(ALLOWED_ARRIVALS);
            assertThat(result.sound()).as("seed %d", seed).isGreaterThan(20);
            assertThat(result.soundRefused()).as("seed %d", seed).isLessThan(result.sound() / 2);
        }
    }

    @ParameterizedTest
    @MethodSource("soundDays")
    void hardlyAnyRequestIsRefusedWhereNoPartCrashesTargets(CrashingPartDay day) {
        int sound = 0;
        int refused = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            CrashingPartResult result = CrashingPartSimulation.run(day, seed);
            sound += result.sound();
            refused += result.soundRefused();
        }

        assertThat(refused).as("of %d", sound).isLessThan(sound / 20);
    }
}
