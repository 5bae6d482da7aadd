package firwheel.proxy.balance;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import firwheel.proxy.balance.HeldRequests.End;
import firwheel.proxy.balance.HeldRequests.Ended;
import firwheel.proxy.balance.HeldRequests.Held;
import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class HeldRequestsTest {
    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final HeldRequests<String> held = new HeldRequests<>(time, 3, 100);

    private boolean add(String request, long untilMillis, long deadlineMillis, int bytes) {
        return held.tryAdd(new Held<>(
                request,
                "svc",
                time.monotonicNanos() + Duration.ofMillis(untilMillis).toNanos(),
                time.monotonicNanos() + Duration.ofMillis(deadlineMillis).toNanos(),
                bytes,
                true));
    }

    private @Nullable Ended<String> next(boolean hasPlace, boolean isForming) {
        return held.next(service -> hasPlace, service -> isForming);
    }

    @Nested
    final class Waits {
        @Test
        void endInOrderOfDeadlinesOnceThereIsAPlace() {
            add("late", 1_000, 5_000, 10);
            add("early", 1_000, 2_000, 10);

            assertThat(next(false, true)).isNull();
            assertThat(next(true, true)).isEqualTo(new Ended<>("early", End.OPEN));
            assertThat(next(true, true)).isEqualTo(new Ended<>("late", End.OPEN));
            assertThat(next(true, true)).isNull();
        }

        @Test
        void endAtOnceWhenTheGroupIsNotFormingAnyMore() {
            add("a", 1_000, 5_000, 10);

            assertThat(next(false, false)).isEqualTo(new Ended<>("a", End.NOT_FORMING));
        }

        @Test
        void endWhenTheirTimeIsUp() {
            add("a", 1_000, 5_000, 10);
            time.advance(Duration.ofSeconds(1));

            assertThat(next(false, true)).isEqualTo(new Ended<>("a", End.EXPIRED));
        }
    }

    @Nested
    final class Limits {
        @Test
        void boundNumberBytesAndTime() {
            assertThat(add("over", 1_000, 5_000, 101)).isFalse();
            assertThat(add("past", 0, 5_000, 1)).isFalse();
            assertThat(add("a", 1_000, 5_000, 50)).isTrue();
            assertThat(add("b", 1_000, 5_000, 51)).isFalse();
            assertThat(add("c", 1_000, 5_000, 25)).isTrue();
            assertThat(add("d", 1_000, 5_000, 25)).isTrue();
            assertThat(add("e", 1_000, 5_000, 0)).isFalse();
        }

        @Test
        void areFreedByRequestsThatEndOtherwise() {
            add("a", 1_000, 5_000, 100);

            held.remove("a");

            assertThat(add("b", 1_000, 5_000, 100)).isTrue();
        }
    }
}
