package firwheel.proxy.balance;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import firwheel.proxy.targets.GroupMembership;
import firwheel.proxy.targets.Target;
import firwheel.proxy.targets.TargetDirectory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Plays a group whose ranks are slow at first, at a load of 0.97 of its capacity, and checks how long callers wait. */
final class OverloadTest {
    private static final int RANKS = 63;
    private static final int SLOTS = 7;
    private static final long STEP_MILLIS = 10;
    private static final long RUN_MILLIS = 2_300; // of a request at nominal speed
    private static final long SLOW_UNTIL_MILLIS = 6_000;
    private static final long END_MILLIS = 30_000;
    private static final long REPORT_MILLIS = 250;
    private static final long MAX_WAIT_MILLIS = 200;
    private static final double REQUESTS_PER_STEP = 0.97 * RANKS * SLOTS * STEP_MILLIS / RUN_MILLIS;

    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final Random random = new Random(3);
    private final TargetDirectory directory = new TargetDirectory(retired -> {});
    private final TargetSelector selector = new TargetSelector(directory, "zone-a", time, random::nextDouble);
    private final List<Rank> ranks = new ArrayList<>();
    private int asked;
    private int servedInTime;

    private final class Rank {
        private final List<double[]> running = new ArrayList<>(); // remaining time at nominal speed
        private final Deque<Long> waitingSinceMillis = new ArrayDeque<>();

        void step(long nowMillis) {
            double done = STEP_MILLIS / (nowMillis < SLOW_UNTIL_MILLIS ? 2.0 : 1.0);
            running.removeIf(remaining -> (remaining[0] -= done) <= 0);
            while (running.size() < SLOTS && !waitingSinceMillis.isEmpty()) {
                boolean inTime = nowMillis - waitingSinceMillis.removeFirst() <= MAX_WAIT_MILLIS;
                running.add(new double[] {RUN_MILLIS * (0.5 + random.nextDouble())});
                servedInTime += inTime && nowMillis > END_MILLIS / 2 ? 1 : 0;
            }
        }

        int requests() {
            return running.size() + waitingSinceMillis.size();
        }
    }

    private void play() {
        for (int rank = 0; rank < RANKS; rank++) {
            ranks.add(new Rank());
            directory.put(new Target(
                    "i-" + rank,
                    1,
                    "svc",
                    "10.0.0." + rank,
                    80,
                    "zone-a",
                    SLOTS,
                    false,
                    new GroupMembership("g", 1, rank, true)));
        }
        double due = 0;
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            if (now % REPORT_MILLIS == 0) {
                report();
            }
            for (due += REQUESTS_PER_STEP; due >= 1; due--) {
                asked += now > END_MILLIS / 2 ? 1 : 0;
                send(now);
            }
            for (Rank rank : ranks) {
                rank.step(now);
            }
            time.advance(Duration.ofMillis(STEP_MILLIS));
        }
    }

    private void report() {
        for (int rank = 0; rank < RANKS; rank++) {
            selector.load(directory.serving("svc").get(rank))
                    .onReport(time.monotonicNanos(), ranks.get(rank).requests(), 1);
        }
    }

    private void send(long nowMillis) {
        Target target = selector.select("svc", Set.of());
        if (target != null) {
            selector.load(target).onSend();
            selector.load(target).onEnd(); // only the reports tell how long requests last
            ranks.get(directory.serving("svc").indexOf(target))
                    .waitingSinceMillis
                    .add(nowMillis);
        }
    }

    @Nested
    final class QueueOfAShortage {
        @Test
        void doesNotDelayRequestsAfterIt() {
            play();

            assertThat(servedInTime).isGreaterThan((int) (0.85 * asked));
        }

        @Test
        void isRefusedWithADelayForFullTargets() {
            play();
            ranks.forEach(rank -> rank.waitingSinceMillis.addAll(List.of(1L, 2L, 3L, 4L, 5L, 6L, 7L)));
            report();

            assertThat(selector.select("svc", Set.of())).isNull();
            assertThat(selector.shortage("svc")).isEqualTo(RetryAfterPolicy.Reason.TARGETS_FULL);
        }
    }
}
