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
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PlacementTest {
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

    private Placement placement(TargetDirectory directory) {
        return new Placement(directory, "zone-a", time, random::nextDouble);
    }

    private static TargetDirectory directory(int ranks, boolean open) {
        TargetDirectory directory = new TargetDirectory(departed -> {});
        for (int rank = 0; rank < ranks; rank++) {
            directory.put(rank(rank, open));
        }
        return directory;
    }

    @Nested
    final class Choice {
        @Test
        void leavesOutTriedAndSuspectedTargetsAndClosedGroups() {
            TargetDirectory directory = directory(3, true);
            Placement placement = placement(directory);
            placement.load(rank(0, true)).onUnreachable(time.monotonicNanos());

            for (int i = 0; i < 50; i++) {
                assertThat(placement.choose("svc", Set.of(rank(1, true).key()))).isEqualTo(rank(2, true));
            }
            assertThat(placement(directory(3, false)).choose("svc", Set.of())).isNull();
        }

        /** The registry tells a second late that a group lost a rank, and again that it is whole. */
        @Test
        void followsReportsOfAGroupBeforeTheRegistry() {
            Placement open = placement(directory(3, true));
            open.onGroupState("g", false);
            assertThat(open.choose("svc", Set.of())).isNull();

            Placement closed = placement(directory(3, false));
            closed.onGroupState("g", true);
            assertThat(closed.choose("svc", Set.of())).isNotNull();

            time.advance(Duration.ofSeconds(2));
            assertThat(open.choose("svc", Set.of())).isNotNull();
            assertThat(closed.choose("svc", Set.of())).isNull();
        }

        /** Requests sent on kept connections to a frozen host arrive when it wakes, after their callers have left. */
        @Test
        void leavesOutATargetThatCannotBeReadUntilItIsReadAgain() {
            Placement placement = placement(directory(2, true));
            placement.load(rank(0, true)).onReportedUnreachable(time.monotonicNanos());

            for (int i = 0; i < 50; i++) {
                assertThat(placement.choose("svc", Set.of())).isEqualTo(rank(1, true));
            }
            placement.load(rank(0, true)).onReport(time.monotonicNanos(), 0, 1);
            assertThat(placement.choose("svc", Set.of(rank(1, true).key()))).isEqualTo(rank(0, true));
        }

        @Test
        void triesASuspectedTargetAgainAfterAWhile() {
            TargetDirectory directory = directory(1, true);
            Placement placement = placement(directory);
            placement.load(rank(0, true)).onUnreachable(time.monotonicNanos());

            assertThat(placement.choose("svc", Set.of())).isNull();
            time.advance(Duration.ofSeconds(3));
            assertThat(placement.choose("svc", Set.of())).isNotNull();
        }

        @Test
        void givesLittleToATargetThatFailsWhileOthersServe() {
            Placement placement = placement(directory(3, true));
            for (int i = 0; i < 5; i++) {
                placement.load(rank(0, true)).onFailure(time.monotonicNanos());
            }
            int atFailing = 0;
            for (int i = 0; i < 300; i++) {
                Target chosen = placement.choose("svc", Set.of());
                atFailing += chosen != null && chosen.equals(rank(0, true)) ? 1 : 0;
            }

            assertThat(atFailing).isLessThan(15);
        }
    }

    @Nested
    final class Silence {
        @Test
        void ofAllTargetsIsNoReasonToGoToAnother() {
            Placement placement = placement(directory(3, true));
            placement.load(rank(1, true)).onHeard(time.monotonicNanos());

            assertThat(placement.othersAnswer("svc", rank(0, true))).isTrue();
            assertThat(placement.othersAnswer("svc", rank(1, true))).isFalse();
            time.advance(Duration.ofSeconds(1));
            assertThat(placement.othersAnswer("svc", rank(0, true))).isFalse();
        }
    }

    @Nested
    final class WaterLevel {
        @Test
        void fillsTheLowestFirst() {
            assertThat(Placement.waterLevel(new double[] {0, 4, 10}, 2)).isEqualTo(2);
            assertThat(Placement.waterLevel(new double[] {0, 4, 10}, 6)).isEqualTo(5);
            assertThat(Placement.waterLevel(new double[] {0, 4, 10}, 16)).isEqualTo(10);
        }
    }

    /**
     * Plays 20 entries that send 28 streams a second, of 1.6 s each, to 12 ranks with 8 slots, and see the same reports
     * four times a second. What callers get is decided by whether their rank has a free slot.
     */
    @Nested
    final class ManyEntries {
        private static final int ENTRIES = 20;
        private static final int RANKS = 12;

        @Test
        void findFreeSlotsFarMoreOftenThanByChance() {
            double byChance = waitingShare(false);
            double placed = waitingShare(true);

            assertThat(placed).isLessThan(byChance / 2);
        }

        private double waitingShare(boolean reported) {
            TargetDirectory directory = directory(RANKS, true);
            List<Placement> placements = new ArrayList<>();
            for (int entry = 0; entry < ENTRIES; entry++) {
                placements.add(placement(directory));
                placements.get(entry).setEntries(ENTRIES);
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
                    placements.get((int) end[2]).load(rank((int) end[1], true)).onEnd();
                }
                if (reported && request % 11 == 0) {
                    report(placements, busy, now);
                }
                int entry = random.nextInt(ENTRIES);
                Target chosen =
                        reported ? placements.get(entry).choose("svc", Set.of()) : rank(random.nextInt(RANKS), true);
                int rank = chosen == null
                        ? 0
                        : Integer.parseInt(chosen.instanceId().substring("i-".length()));
                placements.get(entry).load(rank(rank, true)).onSend();
                waiting += busy[rank] >= 8 ? 1 : 0;
                busy[rank]++;
                ends.add(new long[] {now + Duration.ofMillis(1_600).toNanos(), rank, entry});
            }
            assertThat(Arrays.stream(busy).sum()).isEqualTo(ends.size());
            return waiting / (double) requests;
        }

        private static void report(List<Placement> placements, int[] busy, long now) {
            for (Placement placement : placements) {
                for (int rank = 0; rank < RANKS; rank++) {
                    placement.load(rank(rank, true)).onReport(now, busy[rank], 1);
                }
            }
        }
    }
}
