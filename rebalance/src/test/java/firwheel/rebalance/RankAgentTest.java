package firwheel.rebalance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

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
        return agent.read(new RankCall.Read(1, true, false)).join().selections();
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
}
