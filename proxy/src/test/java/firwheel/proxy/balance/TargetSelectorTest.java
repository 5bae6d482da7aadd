package firwheel.proxy.balance;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import firwheel.proxy.targets.GroupMembership;
import firwheel.proxy.targets.Target;
import firwheel.proxy.targets.TargetDirectory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TargetSelectorTest {
    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final Random random = new Random(7);

    private static Target rank(int rank, boolean open) {
        return new Target(
                "i-" + rank,
                1,
                "svc",
                "10.0.0." + rank,
                80,
                "zone-a",
                8,
                false,
                new GroupMembership("g", 1, rank, open));
    }

    private TargetSelector selector(TargetDirectory directory) {
        return new TargetSelector(directory, "zone-a", time, random::nextDouble);
    }

    private static TargetDirectory directory(int ranks, boolean open) {
        TargetDirectory directory = new TargetDirectory(retired -> {});
        for (int rank = 0; rank < ranks; rank++) {
            directory.put(rank(rank, open));
        }
        return directory;
    }

    @Nested
    final class Silence {
        /** The request would lose its turn and wait at the end of another queue. */
        @Test
        void ofATargetWithAllPlacesTakenIsNotThatOfALostOne() {
            TargetSelector selector = selector(directory(2, true));
            selector.load(rank(0, true)).onReport(time.monotonicNanos(), 8, 1);
            selector.load(rank(1, true)).onReport(time.monotonicNanos(), 7, 1);

            assertThat(selector.letsRequestsWait(rank(0, true))).isTrue();
            assertThat(selector.letsRequestsWait(rank(1, true))).isFalse();
            time.advance(Duration.ofSeconds(2));
            assertThat(selector.letsRequestsWait(rank(0, true))).isFalse();
        }
    }

    @Nested
    final class MalformedResponses {
        @Test
        void keepRequestsAwayForATimeWhileOtherTargetsAreFree() {
            TargetSelector selector = selector(directory(2, true));
            TargetLoad load = selector.load(rank(0, true));

            assertThat(load.onMalformedResponse(time.monotonicNanos())).isFalse();
            assertThat(load.onMalformedResponse(time.monotonicNanos())).isTrue();
            for (int i = 0; i < 50; i++) {
                assertThat(selector.select("svc", Set.of())).isEqualTo(rank(1, true));
            }
            assertThat(selector.select("svc", Set.of(rank(1, true).key()))).isEqualTo(rank(0, true));
            time.advance(Duration.ofSeconds(11));
            assertThat(load.isAvoided(time.monotonicNanos())).isFalse();
            assertThat(load.onMalformedResponse(time.monotonicNanos())).isFalse();
        }
    }

    @Nested
    final class RegistrationInDoubt {
        @Test
        void keepsRequestsAwayWhileOtherTargetsAreFree() {
            TargetDirectory directory = directory(3, true);
            TargetSelector selector = selector(directory);
            directory.putInDoubt("i-0");
            directory.putInDoubt("i-1");

            for (int i = 0; i < 50; i++) {
                assertThat(selector.select("svc", Set.of())).isEqualTo(rank(2, true));
            }
        }

        /** A store that returns lacks the registrations of all targets that could not reach it either. */
        @Test
        void doesNotKeepRequestsAwayIfNoOtherTargetCanTakeThem() {
            TargetDirectory directory = directory(3, true);
            TargetSelector selector = selector(directory);
            directory.putInDoubt("i-0");
            selector.load(rank(1, true)).onReport(time.monotonicNanos(), 8, 1);

            assertThat(selector.select("svc", Set.of(rank(2, true).key()))).isEqualTo(rank(0, true));
        }

        /** Targets of plain services report no load; few of them may have registered again after an outage. */
        @Test
        void doesNotGatherRequestsAtTargetsWithoutReports() {
            TargetDirectory directory = directory(3, true);
            TargetSelector selector = selector(directory);
            selector.setEntryCount(4);
            directory.putInDoubt("i-0");
            directory.putInDoubt("i-1");
            selector.load(rank(2, true)).onSend();
            assertThat(selector.select("svc", Set.of())).isEqualTo(rank(2, true));
            selector.load(rank(2, true)).onSend();

            assertThat(IntStream.range(0, 50).mapToObj(i -> selector.select("svc", Set.of())))
                    .contains(rank(0, true), rank(1, true));
        }

        @Test
        void endsWhenTheTargetRegistersAgain() {
            TargetDirectory directory = directory(2, true);
            TargetSelector selector = selector(directory);
            directory.putInDoubt("i-0");
            directory.put(rank(0, true));

            assertThat(selector.select("svc", Set.of(rank(1, true).key()))).isEqualTo(rank(0, true));
            assertThat(directory.isInDoubt(rank(0, true))).isFalse();
        }
    }

    @Nested
    final class Selection {
        @Test
        void excludesTriedAndSuspendedTargetsAndClosedGroups() {
            TargetDirectory directory = directory(3, true);
            TargetSelector selector = selector(directory);
            selector.load(rank(0, true)).onUnreachable(time.monotonicNanos());

            for (int i = 0; i < 50; i++) {
                assertThat(selector.select("svc", Set.of(rank(1, true).key()))).isEqualTo(rank(2, true));
            }
            assertThat(selector(directory(3, false)).select("svc", Set.of())).isNull();
        }

        /** The registry reports one second late that a group has lost a rank and that it is complete again. */
        @Test
        void prefersRecentGroupReportsOverTheRegistry() {
            TargetSelector openSelector = selector(directory(3, true));
            openSelector.groups().onReport(new GroupStates.Reading("g", 1, false, 0));
            assertThat(openSelector.select("svc", Set.of())).isNull();

            TargetSelector closedSelector = selector(directory(3, false));
            closedSelector.groups().onReport(new GroupStates.Reading("g", 1, true, 0));
            assertThat(closedSelector.select("svc", Set.of())).isNotNull();

            time.advance(Duration.ofSeconds(2));
            assertThat(openSelector.select("svc", Set.of())).isNotNull();
            assertThat(closedSelector.select("svc", Set.of())).isNull();
        }

        /** Requests sent to a frozen host on open connections arrive when it resumes, after their clients have given up. */
        @Test
        void excludesUnreachableTargetUntilItsNextReport() {
            TargetSelector selector = selector(directory(2, true));
            selector.load(rank(0, true)).onReportedUnreachable(time.monotonicNanos());

            for (int i = 0; i < 50; i++) {
                assertThat(selector.select("svc", Set.of())).isEqualTo(rank(1, true));
            }
            selector.load(rank(0, true)).onReport(time.monotonicNanos(), 0, 1);
            assertThat(selector.select("svc", Set.of(rank(1, true).key()))).isEqualTo(rank(0, true));
        }

        @Test
        void retriesSuspendedTargetAfterTheSuspension() {
            TargetDirectory directory = directory(1, true);
            TargetSelector selector = selector(directory);
            selector.load(rank(0, true)).onUnreachable(time.monotonicNanos());

            assertThat(selector.select("svc", Set.of())).isNull();
            time.advance(Duration.ofSeconds(3));
            assertThat(selector.select("svc", Set.of())).isNotNull();
        }

        @Test
        void selectsFailingTargetRarely() {
            TargetSelector selector = selector(directory(3, true));
            for (int i = 0; i < 5; i++) {
                selector.load(rank(0, true)).onFailure(time.monotonicNanos());
            }
            int failingSelections = 0;
            for (int i = 0; i < 300; i++) {
                Target chosen = selector.select("svc", Set.of());
                failingSelections += chosen != null && chosen.equals(rank(0, true)) ? 1 : 0;
            }

            assertThat(failingSelections).isLessThan(15);
        }
    }

    @Nested
    final class LapsedRegistrations {
        private final Target target = rank(0, true);
        private final TargetDirectory directory = directory(1, true);
        private final TargetSelector selector = selector(directory);

        private void lapseAndReturn() {
            directory.remove(target.instanceId());
            selector.removeRetired();
            time.advance(Duration.ofSeconds(1));
            directory.put(target);
        }

        @Test
        void doNotEndTheTimeForWhichATargetWantsNoRequests() {
            selector.load(target).onDeclined(time.monotonicNanos(), Duration.ofSeconds(3));

            lapseAndReturn();

            assertThat(selector.select("svc", Set.of())).isNull();
            assertThat(selector.tryBegin(target)).isFalse();
            time.advance(Duration.ofSeconds(2));
            assertThat(selector.tryBegin(target)).isTrue();
        }

        @Test
        void doNotEndALimit() {
            selector.setEntryCount(1_000);
            selector.limits().onStated(target.key(), 1);

            lapseAndReturn();

            assertThat(selector.limits().count()).isEqualTo(1);
            directory.remove(target.instanceId());
            time.advance(Duration.ofMinutes(2));
            selector.removeRetired();
            assertThat(selector.limits().count()).isZero();
        }
    }

    @Nested
    final class OtherTargetsResponding {
        @Test
        void requiresRecentBytesFromAnotherTarget() {
            TargetSelector selector = selector(directory(3, true));
            selector.load(rank(1, true)).onBytesReceived(time.monotonicNanos());

            assertThat(selector.otherTargetsResponding("svc", rank(0, true))).isTrue();
            assertThat(selector.otherTargetsResponding("svc", rank(1, true))).isFalse();
            time.advance(Duration.ofSeconds(1));
            assertThat(selector.otherTargetsResponding("svc", rank(0, true))).isFalse();
        }
    }

    @Nested
    final class WaterLevel {
        @Test
        void fillsLeastLoadedTargetsFirst() {
            assertThat(TargetSelector.waterLevel(new double[] {0, 4, 10}, 2)).isEqualTo(2);
            assertThat(TargetSelector.waterLevel(new double[] {0, 4, 10}, 6)).isEqualTo(5);
            assertThat(TargetSelector.waterLevel(new double[] {0, 4, 10}, 16)).isEqualTo(10);
        }
    }

    /**
     * Simulates 20 entries that together send 44 streams of 1.6 s each per second to 12 ranks with 8 slots and receive
     * the same load reports four times a second. A stream waits if its rank has no free slot.
     */
    @Nested
    final class ManyEntries {
        private static final int ENTRIES = 20;
        private static final int RANKS = 12;

        @Test
        void waitForSlotsLessThanHalfAsOftenAsWithRandomSelection() {
            double randomShare = waitingShare(false);
            double selectedShare = waitingShare(true);

            assertThat(selectedShare).isLessThan(randomShare / 2);
        }

        private double waitingShare(boolean useSelector) {
            TargetDirectory directory = directory(RANKS, true);
            List<TargetSelector> selectors = new ArrayList<>();
            for (int entry = 0; entry < ENTRIES; entry++) {
                selectors.add(selector(directory));
                selectors.get(entry).setEntryCount(ENTRIES);
            }
            int[] busy = new int[RANKS];
            PriorityQueue<long[]> ends = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
            int waiting = 0;
            int requests = 4_000;
            for (int request = 0; request < requests; request++) {
                time.advance(Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / 44 * 1e9)));
                long now = time.monotonicNanos();
                while (!ends.isEmpty() && ends.peek()[0] <= now) {
                    long[] end = ends.poll();
                    busy[(int) end[1]]--;
                    selectors.get((int) end[2]).load(rank((int) end[1], true)).onEnd();
                }
                if (useSelector && request % 11 == 0) {
                    report(selectors, busy, now);
                }
                int entry = random.nextInt(ENTRIES);
                Target chosen =
                        useSelector ? selectors.get(entry).select("svc", Set.of()) : rank(random.nextInt(RANKS), true);
                int rank = chosen == null
                        ? 0
                        : Integer.parseInt(chosen.instanceId().substring("i-".length()));
                selectors.get(entry).load(rank(rank, true)).onSend();
                waiting += busy[rank] >= 8 ? 1 : 0;
                busy[rank]++;
                ends.add(new long[] {now + Duration.ofMillis(1_600).toNanos(), rank, entry});
            }
            assertThat(Arrays.stream(busy).sum()).isEqualTo(ends.size());
            return waiting / (double) requests;
        }

        private static void report(List<TargetSelector> selectors, int[] busy, long now) {
            for (TargetSelector selector : selectors) {
                for (int rank = 0; rank < RANKS; rank++) {
                    selector.load(rank(rank, true)).onReport(now, busy[rank], 1);
                }
            }
        }
    }
}
