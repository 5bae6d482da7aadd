package firwheel.bench.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.bench.decisions.EmulatedDay.Fault;
import firwheel.bench.decisions.EmulatedDay.Kind;
import firwheel.proxy.balance.WaitPolicy;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class DayEmulationTest {
    private static final EngineTimes ENGINE =
            new EngineTimes(10, 20, 6, 5.85, 0.426, 61.2, 512, 0.85, Duration.ofMillis(1_500), Duration.ofMillis(600));
    private static final Variant IN_USE = new Variant("in use", WaitPolicy.whileForming(), Map.of());

    private static EmulatedDay day(Fault... faults) {
        return new EmulatedDay(
                "day",
                3,
                15,
                16,
                Duration.ofSeconds(30),
                33,
                800,
                23,
                Duration.ofMillis(400),
                Duration.ofMillis(120),
                Duration.ofSeconds(8),
                Duration.ofSeconds(2),
                1,
                1.2,
                1.75,
                Duration.ofMillis(800),
                List.of(faults));
    }

    @Nested
    final class QuietDay {
        @Test
        void isServedWithinTheObjectives() {
            DayResult.Counts total = DayEmulation.run(day(), ENGINE, IN_USE, 1).total();

            assertThat(total.all()).isGreaterThan(800);
            assertThat(total.inAim()).isGreaterThan(0.97);
        }

        @Test
        void givesTheSameResultForTheSameSeed() {
            DayResult.Counts first = DayEmulation.run(day(), ENGINE, IN_USE, 7).total();
            DayResult.Counts second = DayEmulation.run(day(), ENGINE, IN_USE, 7).total();

            assertThat(second.inAim()).isEqualTo(first.inAim());
            assertThat(second.all()).isEqualTo(first.all());
        }
    }

    @Nested
    final class LostZone {
        private final EmulatedDay day =
                day(new Fault(Kind.ZONE_CUT, Duration.ofSeconds(10), Duration.ofMillis(5_600), 0));

        @Test
        void leavesCallersUnservedUntilTheGroupOpens() {
            List<DayResult.Counts> intervals =
                    DayEmulation.run(day, ENGINE, IN_USE, 1).intervals();

            assertThat(intervals.get(3).inAim()).isGreaterThan(0.95);
            assertThat(intervals.get(5).worth()).isLessThan(0.2);
            assertThat(intervals.get(6).worth()).isLessThan(0.2);
            assertThat(intervals.get(9).inAim()).isGreaterThan(0.8);
        }
    }
}
