package firwheel.proxy.balance;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import firwheel.proxy.balance.HeldRequests.Ended;
import firwheel.proxy.balance.HeldRequests.Held;
import firwheel.proxy.balance.RetryAfterPolicy.Reason;
import firwheel.proxy.targets.GroupMembership;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Plays callers of a group that loses a rank for some seconds; refused callers return once. */
final class GroupOutageTest {
    private static final long STEP_MILLIS = 20;
    private static final long LOST_MILLIS = 5_000;
    private static final long REFUSING_MILLIS = LOST_MILLIS + 1_500; // ranks wait for the lost one until then
    private static final long FORM_MILLIS = 600;
    private static final long END_MILLIS = 14_000;
    private static final long REPORT_MILLIS = 240;
    private static final long DEADLINE_MILLIS = 8_000;
    private static final Target RANK =
            new Target("i-0", 1, "svc", "10.0.0.1", 80, "zone-a", 8, false, new GroupMembership("g", 1, 0, true));

    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final Duration OBJECTIVE = Duration.ofMillis(400);
    private static final long LONGEST_WAIT_MILLIS =
            PATIENCE.minus(OBJECTIVE.dividedBy(2)).toMillis();

    private WaitPolicy policy = WaitPolicy.whileForming();
    private long backMillis = LOST_MILLIS + 3_000;
    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final GroupStates states = new GroupStates(time);
    private final HeldRequests<Caller> held = new HeldRequests<>(time, 1_000, 1_000);
    private final RetryAfterPolicy retryAfter = new RetryAfterPolicy(new Random(5)::nextDouble);
    private final List<Caller> coming = new ArrayList<>();
    private final List<Caller> waitingAtRanks = new ArrayList<>();
    private final List<Caller> served = new ArrayList<>();
    private final List<Caller> lost = new ArrayList<>();

    private record Caller(long firstMillis, long dueMillis, boolean returned) {}

    private void play() {
        for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
            time.advance(Duration.ofMillis(STEP_MILLIS));
            if (now % REPORT_MILLIS == 0) {
                report(now);
            }
            if (now < openMillis()) {
                coming.add(new Caller(now, now, false));
            }
            for (Caller caller : List.copyOf(coming)) {
                if (caller.dueMillis() <= now) {
                    coming.remove(caller);
                    onArrival(caller, now);
                }
            }
            if (now == REFUSING_MILLIS) {
                states.onRefused(RANK, "10.0.0.9:80");
                for (Caller caller : waitingAtRanks) {
                    refuse(caller, now);
                }
            }
            endWaits(now);
        }
    }

    private long openMillis() {
        return backMillis + FORM_MILLIS;
    }

    private void report(long now) {
        boolean open = now < REFUSING_MILLIS || now >= openMillis();
        int missing = now >= LOST_MILLIS && now < backMillis ? 1 : 0;
        states.onReport(new GroupStates.Reading("g", now >= openMillis() ? 2 : 1, open, missing));
    }

    private boolean isOpen() {
        return states.isOpen(new GroupMembership("g", 1, 0, true));
    }

    private boolean isForming() {
        return states.timeToOpen(new GroupMembership("g", 1, 0, true)) != null;
    }

    private void onArrival(Caller caller, long now) {
        if (isOpen()) {
            (now >= LOST_MILLIS && now < REFUSING_MILLIS ? waitingAtRanks : served).add(caller);
        } else if (!hold(caller, now)) {
            refuse(caller, now);
        }
    }

    private boolean hold(Caller caller, long now) {
        long leftMillis = caller.firstMillis() + DEADLINE_MILLIS - now;
        long nowNanos = time.monotonicNanos();
        WaitPolicy.Situation situation =
                new WaitPolicy.Situation(isForming(), caller.returned(), PATIENCE, OBJECTIVE, Duration.ZERO);
        Duration wait = policy.maxWait(situation);
        return held.tryAdd(new Held<>(
                caller,
                "svc",
                nowNanos + Math.min(Duration.ofMillis(leftMillis).toNanos(), wait.toNanos()),
                nowNanos + Duration.ofMillis(leftMillis).toNanos(),
                1,
                policy.endsUnlessForming(situation)));
    }

    private void refuse(Caller caller, long now) {
        long leftMillis = caller.firstMillis() + DEADLINE_MILLIS - now;
        Duration delay = retryAfter.retryDelay(Reason.NO_TARGET_AVAILABLE, Duration.ofMillis(leftMillis));
        if (caller.returned() || delay.isZero()) {
            lost.add(caller);
        } else {
            coming.add(new Caller(caller.firstMillis(), now + delay.toMillis(), true));
        }
    }

    private void endWaits(long now) {
        for (Ended<Caller> ended = next(); ended != null; ended = next()) {
            if (ended.end() == HeldRequests.End.OPEN) {
                served.add(ended.request());
            } else {
                refuse(ended.request(), now);
            }
        }
    }

    private @Nullable Ended<Caller> next() {
        return held.next(service -> isOpen(), service -> isForming());
    }

    @Nested
    final class Callers {
        @Test
        void areServedIfTheyReturnAfterTheRankIsKnownToBeBack() {
            play();

            assertThat(lost).allMatch(caller -> caller.dueMillis() < backMillis + REPORT_MILLIS);
            assertThat(served).anyMatch(caller -> caller.returned() && caller.dueMillis() < openMillis());
        }

        @Test
        void areNotKeptWaitingWhileTheRankIsMissing() {
            states.onReport(new GroupStates.Reading("g", 1, false, 1));

            assertThat(isForming()).isFalse();
        }
    }

    @Nested
    final class CallersThatHaveReturned {
        /** They have no further attempt, so nothing is lost by a wait for the rank. */
        @Test
        void areServedIfTheGroupOpensBeforeTheyLeave() {
            policy = WaitPolicy.ofReturnedCallers();
            backMillis = LOST_MILLIS + 5_500;
            play();

            assertThat(lost)
                    .allMatch(caller -> caller.dueMillis() < openMillis() + REPORT_MILLIS - LONGEST_WAIT_MILLIS);
            assertThat(served).anyMatch(caller -> caller.returned() && caller.dueMillis() < backMillis - REPORT_MILLIS);
        }

        @Test
        void areNotKeptUntilTheyLeave() {
            policy = WaitPolicy.ofReturnedCallers();
            Duration wait = policy.maxWait(new WaitPolicy.Situation(
                    false, true, PATIENCE, OBJECTIVE, Duration.ofMillis(LONGEST_WAIT_MILLIS - 100)));

            assertThat(wait).isEqualTo(Duration.ofMillis(100));
        }

        @Test
        void areToldByTheTimeThatTheyHaveLeft() {
            ReturnedCallers callers = new ReturnedCallers(time);

            assertThat(callers.onRequest("a", DEADLINE_MILLIS)).isFalse();
            assertThat(callers.onRequest("a", DEADLINE_MILLIS * 2 / 3)).isTrue();
            assertThat(callers.onRequest("b", DEADLINE_MILLIS * 2 / 3)).isFalse();
            assertThat(callers.onRequest("a", 0)).isFalse();
        }
    }
}
