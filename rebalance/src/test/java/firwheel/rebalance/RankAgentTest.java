package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import firwheel.experts.rollout.HoldSteps;
import firwheel.experts.rollout.RankOrder;
import firwheel.experts.rollout.RankView;
import firwheel.model.ManualTimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RankAgentTest {
    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final RankAgent agent =
            new RankAgent(new FakeGroup(3, 12).engine(0), new EngineAddress("127.0.0.1", 9_000), time);

    private @Nullable SelectionDigest readSelections() {
        return agent.read(new RankCall.Read(1, true, false, null)).join().selections();
    }

    @Nested
    final class Selections {
        @Test
        void areNotReportedOnFirstReading() {
            assertThat(readSelections()).isNull();
        }

        @Test
        void areReportedAfterAnOutageOfSeconds() {
            readSelections();
            time.advance(Duration.ofSeconds(8));

            SelectionDigest selections = Objects.requireNonNull(readSelections());

            assertThat(selections.count(0)).isEqualTo(5_000);
            assertThat(selections.count(11)).isCloseTo(500, within(20L));
        }

        @Test
        void ofTheTimeBeforeALongPauseAreNotReported() {
            readSelections();
            time.advance(Duration.ofSeconds(31));

            assertThat(readSelections()).isNull();
        }
    }

    /** Guards against a new controller that holds the group at a step that an earlier one has used. */
    @Nested
    final class StepsOfHolds {
        private HoldSteps.@Nullable Known exchange(HoldSteps.@Nullable Known known) {
            return agent.read(new RankCall.Read(1, false, false, known)).join().holdSteps();
        }

        @Test
        void ofOrdersAreReportedToLaterControllers() {
            RankOrder hold = new RankOrder(0, RankOrder.Action.HOLD, RankView.NONE, 7, 1, new int[0][][]);
            agent.forwardOrder(RankCall.Order.of(1, hold)).join();

            assertThat(exchange(null)).isEqualTo(new HoldSteps.Known(1, 7));
        }

        @Test
        void thatControllersKnowAreReportedToLaterOnes() {
            exchange(new HoldSteps.Known(1, 9));

            assertThat(exchange(new HoldSteps.Known(1, 3))).isEqualTo(new HoldSteps.Known(1, 9));
            assertThat(exchange(new HoldSteps.Known(2, 1))).isEqualTo(new HoldSteps.Known(2, 1));
        }
    }
}
