package firwheel.proxy.crash;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import firwheel.proxy.crash.PartLedger.Verdict;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Entries that send to one group of ranks, of which one crashes whenever it begins to respond to a request with a certain
 * part. Reports between the entries are late or lost, and ranks crash for other reasons too.
 */
final class CrashingPartModelTest {
    private static final int SEEDS = 50;
    private static final PromptPart BAD = part(-1);
    private static final int ENTRIES = 13;
    private static final int RANKS = 12;
    private static final int SHARED_PARTS = 60;
    private static final double SOUND_PER_SECOND = 60;
    private static final double LOSS = 0.05;
    private static final int MAX_DELAY_MILLIS = 30;
    private static final int REPORTS_PER_DATAGRAM = 4;
    private static final int REPEAT_MILLIS = 500;
    private static final int PEERS_PER_REPEAT = 2;
    private static final int CLOSED_MILLIS = 4_600; // stall, restart of the rank and forming of the group
    private static final int PATIENCE_MILLIS = 2_000;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int CRASHES = 5;
    private static final int ALLOWED_ARRIVALS = 3;
    private static final int BAD_FROM_MILLIS = 5_000;
    private static final int DAY_MILLIS = 60_000;

    private static PromptPart part(int number) {
        return new PromptPart("svc", Integer.toHexString(number));
    }

    /** A request that waits for the group, or for the first event of its response. */
    private record Request(
            int entry, RequestFingerprint fingerprint, Set<PromptPart> parts, long arrivedMillis, int sends) {
        boolean bad() {
            return parts.contains(BAD);
        }

        Request sent() {
            return new Request(entry, fingerprint, parts, arrivedMillis, sends + 1);
        }
    }

    private record Running(long respondsMillis, int rank, Request request) {}

    private record Datagram(long arrivesMillis, int entry, List<PartReport> reports) {}

    private static final class Simulation {
        private final Random random;
        private final double badPerSecond;
        private final double otherCrashesPerSecond;
        private final boolean badWithOneSharedPart;
        private final boolean soundBefore;
        private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
        private final List<PartLedger> ledgers =
                Stream.generate(() -> new PartLedger(time)).limit(ENTRIES).toList();
        private final int[] incarnations = new int[RANKS];
        private final List<Running> running = new ArrayList<>();
        private final PriorityQueue<Datagram> network =
                new PriorityQueue<>((a, b) -> Long.compare(a.arrivesMillis(), b.arrivesMillis()));
        private final Deque<Request> held = new ArrayDeque<>();
        private final List<Long> badCrashMillis = new ArrayList<>();
        private final List<Long> badArrivalMillis = new ArrayList<>();
        private long nowMillis;
        private long opensMillis;
        private int requests;
        private int soundSettled;
        private int soundRefusedSettled;

        Simulation(
                long seed,
                double badPerSecond,
                double otherCrashesPerSecond,
                boolean badWithOneSharedPart,
                boolean soundBefore) {
            random = new Random(seed);
            this.badPerSecond = badPerSecond;
            this.otherCrashesPerSecond = otherCrashesPerSecond;
            this.badWithOneSharedPart = badWithOneSharedPart;
            this.soundBefore = soundBefore;
        }

        void run() {
            for (; nowMillis < DAY_MILLIS; nowMillis++) {
                time.advance(Duration.ofMillis(1));
                deliver();
                respond();
                if (happens(otherCrashesPerSecond)) {
                    crash(random.nextInt(RANKS));
                }
                if (happens(SOUND_PER_SECOND)) {
                    arrive(Set.of(part(popular())));
                }
                if ((soundBefore || isBadNow()) && happens(badPerSecond)) {
                    arrive(Set.of(part(badWithOneSharedPart ? 0 : popular()), BAD));
                }
                if (nowMillis >= opensMillis) {
                    int waiting = held.size();
                    for (int i = 0; i < waiting; i++) {
                        send(held.remove());
                    }
                }
                if (nowMillis % REPEAT_MILLIS == 0) {
                    repeat();
                }
            }
        }

        private boolean isBadNow() {
            return nowMillis > BAD_FROM_MILLIS;
        }

        private boolean happens(double perSecond) {
            return random.nextDouble() < perSecond / 1_000;
        }

        /** Draws a shared part, the first ones more often than the others. */
        private int popular() {
            return (int) (SHARED_PARTS * random.nextDouble() * random.nextDouble());
        }

        private void arrive(Set<PromptPart> parts) {
            held.add(new Request(
                    random.nextInt(ENTRIES), new RequestFingerprint("r" + requests++), parts, nowMillis, 0));
        }

        private void send(Request request) {
            if (nowMillis - request.arrivedMillis() > PATIENCE_MILLIS) {
                return;
            }
            boolean refused = ledgers.get(request.entry()).judge(request.parts()) == Verdict.REFUSED;
            if (!request.bad() && isSettled()) {
                soundSettled++;
                soundRefusedSettled += refused ? 1 : 0;
            }
            if (refused) {
                return;
            }
            if (request.bad() && isBadNow()) {
                badArrivalMillis.add(nowMillis);
            }
            running.add(new Running(nowMillis + 60 + random.nextInt(340), random.nextInt(RANKS), request.sent()));
        }

        private boolean isSettled() {
            int crashes = Math.min(CRASHES, badCrashMillis.size());
            return crashes > 0 && nowMillis > badCrashMillis.get(crashes - 1) + 2 * CONTACT_MILLIS;
        }

        private void respond() {
            for (Running done : List.copyOf(running)) {
                if (done.respondsMillis() > nowMillis || !running.contains(done)) {
                    continue;
                }
                if (done.request().bad() && isBadNow()) {
                    badCrashMillis.add(nowMillis);
                    crash(done.rank());
                } else {
                    running.remove(done);
                    broadcast(
                            done.request().entry(),
                            ledgers.get(done.request().entry())
                                    .clear(done.request().parts()));
                }
            }
        }

        private void crash(int rank) {
            Target.Key target = new Target.Key("i-" + rank, incarnations[rank]++);
            for (Running lost : running) {
                Request request = lost.request();
                if (lost.rank() == rank) {
                    PartLedger ledger = ledgers.get(request.entry());
                    broadcast(
                            request.entry(),
                            ledger.recordCrash(new Suspect(request.fingerprint(), request.parts()), target));
                }
                if (request.sends() < 2) {
                    held.add(request);
                }
            }
            running.clear();
            opensMillis = nowMillis + CLOSED_MILLIS;
        }

        private void broadcast(int from, List<PartReport> reports) {
            if (!reports.isEmpty()) {
                IntStream.range(0, ENTRIES).filter(entry -> entry != from).forEach(entry -> transmit(entry, reports));
            }
        }

        private void repeat() {
            for (PartLedger ledger : ledgers) {
                for (int i = 0; i < PEERS_PER_REPEAT; i++) {
                    transmit(random.nextInt(ENTRIES), ledger.nextReports(REPORTS_PER_DATAGRAM));
                }
            }
        }

        private void transmit(int entry, List<PartReport> reports) {
            if (random.nextDouble() >= LOSS) {
                network.add(new Datagram(nowMillis + 1 + random.nextInt(MAX_DELAY_MILLIS), entry, reports));
            }
        }

        private void deliver() {
            while (!network.isEmpty() && network.peek().arrivesMillis() <= nowMillis) {
                Datagram datagram = network.remove();
                datagram.reports().forEach(ledgers.get(datagram.entry())::merge);
            }
        }

        long lateArrivals() {
            return badCrashMillis.size() < CRASHES
                    ? 0
                    : badArrivalMillis.stream()
                            .filter(millis -> millis > badCrashMillis.get(CRASHES - 1) + CONTACT_MILLIS)
                            .count();
        }
    }

    static Stream<Arguments> days() {
        return Stream.of(
                Arguments.of("a bad request a second", 1.0, 0.0, false, false),
                Arguments.of("five bad requests a second", 5.0, 0.0, false, false),
                Arguments.of("bad requests that share two parts", 1.0, 0.0, true, false),
                Arguments.of("a part that was sound before", 2.0, 0.0, true, true),
                Arguments.of("crashes with other causes", 1.0, 0.1, false, false),
                Arguments.of("crashes with other causes beside two shared parts", 3.0, 0.1, true, false));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("days")
    void refusesRequestsWithThePartAndServesTheOthers(
            String day,
            double badPerSecond,
            double otherCrashesPerSecond,
            boolean badWithOneSharedPart,
            boolean soundBefore) {
        for (long seed = 0; seed < SEEDS; seed++) {
            Simulation simulation =
                    new Simulation(seed, badPerSecond, otherCrashesPerSecond, badWithOneSharedPart, soundBefore);
            simulation.run();

            String run = day + ", seed " + seed + ", crashes at " + simulation.badCrashMillis;
            assertThat(simulation.lateArrivals()).as(run).isLessThanOrEqualTo(ALLOWED_ARRIVALS);
            assertThat(simulation.soundSettled).as(run).isGreaterThan(20);
            assertThat(simulation.soundRefusedSettled).as(run).isLessThan(simulation.soundSettled / 2);
        }
    }

    @ParameterizedTest(name = "{0} crashes a second")
    @MethodSource("otherCrashes")
    void refusesHardlyAnyRequestWhereNoPartCrashesTargets(double otherCrashesPerSecond) {
        int served = 0;
        int refused = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            Simulation simulation = new Simulation(seed, 0, otherCrashesPerSecond, false, false);
            simulation.badCrashMillis.add(-2L * CONTACT_MILLIS); // counts the whole day
            simulation.run();
            served += simulation.soundSettled;
            refused += simulation.soundRefusedSettled;
        }
        assertThat(refused).as("of %d", served).isLessThan(served / 20);
    }

    static Stream<Double> otherCrashes() {
        return Stream.of(0.05, 0.1, 0.2);
    }
}
