package firwheel.proxy.balance;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Entries that share the limit of one target without exchanging messages. */
final class StatedLimitsTest {
    private static final Target.Key TARGET = new Target.Key("i-1", 1);
    private static final Duration TICK = Duration.ofMillis(20);
    private static final long WINDOW_MILLIS = 4_000;

    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final List<StatedLimits> entries = new ArrayList<>();
    private final Deque<Long> window = new ArrayDeque<>();
    private int sent;
    private int mostInWindow;

    private void name(int entryCount, double requestsPerSecond, Random random) {
        for (int i = 0; i < entryCount; i++) {
            StatedLimits entry = new StatedLimits(time, random::nextDouble);
            entry.setEntryCount(entryCount);
            entry.onStated(TARGET, requestsPerSecond);
            entries.add(entry);
        }
    }

    /** Each entry sends whenever it may. */
    private void sendFor(Duration duration) {
        for (long millis = 0; millis < duration.toMillis(); millis += TICK.toMillis()) {
            for (StatedLimits entry : entries) {
                while (entry.tryTake(TARGET)) {
                    sent++;
                    window.addLast(time.monotonicMillis());
                }
            }
            while (!window.isEmpty() && window.peekFirst() <= time.monotonicMillis() - WINDOW_MILLIS) {
                window.removeFirst();
            }
            mostInWindow = Math.max(mostInWindow, window.size());
            time.advance(TICK);
        }
    }

    private static int allowedInWindow(double requestsPerSecond) {
        return (int) (1.5 * requestsPerSecond * WINDOW_MILLIS / 1_000 + 5);
    }

    @Nested
    final class ManyEntries {
        @Test
        void sendAtTheLimitTogetherAlsoAfterAQuietInterval() {
            for (int entryCount : new int[] {4, 13, 20, 48}) {
                for (double limit : new double[] {0.3, 1, 1.7, 4, 12}) {
                    entries.clear();
                    window.clear();
                    sent = 0;
                    mostInWindow = 0;
                    name(entryCount, limit, new Random(11));
                    sendFor(Duration.ofSeconds(400));
                    time.advance(Duration.ofSeconds(30));
                    sendFor(Duration.ofSeconds(10));

                    assertThat(mostInWindow)
                            .as("%d entries, limit %s", entryCount, limit)
                            .isLessThanOrEqualTo(allowedInWindow(limit));
                    assertThat((double) sent)
                            .as("%d entries, limit %s", entryCount, limit)
                            .isGreaterThan(0.9 * limit * 400);
                }
            }
        }

        @Test
        void keepToALimitThatChangesAndACountThatRises() {
            Random random = new Random(12);
            name(20, 3, random);
            for (int change = 0; change < 200; change++) {
                double limit = random.nextBoolean() ? 3 : 2.5;
                int entryCount = 20 + change / 20;
                entries.forEach(entry -> {
                    entry.setEntryCount(entryCount);
                    entry.onStated(TARGET, limit);
                });
                sendFor(Duration.ofMillis(random.nextInt(2_000)));
            }

            assertThat(mostInWindow).isLessThanOrEqualTo(allowedInWindow(2.5));
        }
    }

    @Nested
    final class OneEntry {
        @Test
        void isFreeOnceTheTargetStatesNoLimit() {
            name(20, 1, new Random(13));
            StatedLimits entry = entries.get(0);
            assertThat(entry.onStated(TARGET, StatedLimits.NONE)).isTrue();

            assertThat(entry.tryTake(TARGET)).isTrue();
            assertThat(entry.tryTake(TARGET)).isTrue();
            assertThat(entry.onStated(TARGET, StatedLimits.NONE)).isFalse();
        }

        @Test
        void sendsNowAndThenThoughTheLimitIsZero() {
            name(1, 0, new Random(14));
            sendFor(Duration.ofSeconds(100));

            assertThat(sent).isBetween(5, 10);
        }
    }
}
