package firwheel.bench.crash;

import firwheel.model.ManualTimeSource;
import firwheel.proxy.crash.PartLedger;
import firwheel.proxy.crash.PartLedger.Verdict;
import firwheel.proxy.crash.PartReport;
import firwheel.proxy.crash.PromptPart;
import firwheel.proxy.crash.RequestFingerprint;
import firwheel.proxy.crash.Suspect;
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

/**
 * Entries that send to one group of ranks, of which one crashes whenever it begins to respond to a request with a certain
 * part. A crash cuts all requests of the group, which is closed until the rank is back. Reports between the entries are
 * late or lost, and ranks crash for other reasons too. Each entry decides with a {@link PartLedger} of its own.
 */
public final class CrashingPartSimulation {
    private static final PromptPart BAD = new PromptPart("svc", "bad");
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
    private static final int MIN_RESPONSE_MILLIS = 60;
    private static final int MAX_RESPONSE_MILLIS = 400;

    private final CrashingPartDay day;
    private final Random random;
    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final List<PartLedger> ledgers;
    private final int[] incarnations = new int[RANKS];
    private final List<Running> running = new ArrayList<>();
    private final PriorityQueue<Datagram> network =
            new PriorityQueue<>((a, b) -> Long.compare(a.arrivesMillis(), b.arrivesMillis()));
    private final Deque<Request> waiting = new ArrayDeque<>();
    private final List<Long> badCrashMillis = new ArrayList<>();
    private final List<Long> badArrivalMillis = new ArrayList<>();
    private long nowMillis;
    private long opensMillis;
    private int requests;
    private int soundSettled;
    private int soundRefused;
    private long datagrams;

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

    private CrashingPartSimulation(CrashingPartDay day, long seed) {
        this.day = day;
        random = new Random(seed);
        ledgers =
                Stream.generate(() -> new PartLedger(time)).limit(day.entries()).toList();
    }

    /** Plays a day; the same seed gives the same result. */
    public static CrashingPartResult run(CrashingPartDay day, long seed) {
        CrashingPartSimulation simulation = new CrashingPartSimulation(day, seed);
        while (simulation.nowMillis < CrashingPartDay.LENGTH.toMillis()) {
            simulation.step();
        }
        return simulation.result();
    }

    /** Returns a table of all variants of a day. */
    public static String table(int entries, int seeds) {
        StringBuilder table = new StringBuilder(CrashingPartResult.heading());
        Stream.concat(CrashingPartDay.variants(entries).stream(), CrashingPartDay.soundVariants(entries).stream())
                .map(day -> CrashingPartResult.row(
                        day,
                        IntStream.range(0, seeds)
                                .mapToObj(seed -> run(day, seed))
                                .toList()))
                .forEach(row -> table.append('\n').append(row));
        return table.toString();
    }

    private void step() {
        time.advance(Duration.ofMillis(1));
        deliver();
        respond();
        if (happens(day.otherCrashesPerSecond())) {
            crash(random.nextInt(RANKS));
        }
        if (happens(SOUND_PER_SECOND)) {
            arrive(Set.of(sharedPart()));
        }
        if ((day.soundBefore() || isBadNow()) && happens(day.badPerSecond())) {
            arrive(Set.of(day.oneSharedPart() ? sharedPart(0) : sharedPart(), BAD));
        }
        if (nowMillis >= opensMillis) {
            List<Request> ready = List.copyOf(waiting);
            waiting.clear();
            ready.forEach(this::send);
        }
        if (nowMillis % REPEAT_MILLIS == 0) {
            repeat();
        }
        nowMillis++;
    }

    private boolean happens(double perSecond) {
        return random.nextDouble() < perSecond / 1_000;
    }

    private boolean isBadNow() {
        return nowMillis > CrashingPartDay.BAD_FROM.toMillis();
    }

    /** Draws a shared part, the first ones more often than the others. */
    private PromptPart sharedPart() {
        return sharedPart((int) (SHARED_PARTS * random.nextDouble() * random.nextDouble()));
    }

    private static PromptPart sharedPart(int number) {
        return new PromptPart("svc", "shared-" + number);
    }

    private void arrive(Set<PromptPart> parts) {
        int entry = random.nextInt(day.entries());
        waiting.add(new Request(entry, new RequestFingerprint("r" + requests++), parts, nowMillis, 0));
    }

    private void send(Request request) {
        if (nowMillis - request.arrivedMillis() > PATIENCE_MILLIS) {
            return;
        }
        boolean refused = ledgers.get(request.entry()).judge(request.parts()) == Verdict.REFUSED;
        if (!request.bad() && isSettled()) {
            soundSettled++;
            soundRefused += refused ? 1 : 0;
        }
        if (refused) {
            return;
        }
        if (request.bad() && isBadNow()) {
            badArrivalMillis.add(nowMillis);
        }
        long respondsMillis = nowMillis + random.nextInt(MIN_RESPONSE_MILLIS, MAX_RESPONSE_MILLIS);
        running.add(new Running(respondsMillis, random.nextInt(RANKS), request.sent()));
    }

    private boolean isSettled() {
        int crashes = Math.min(CRASHES, badCrashMillis.size());
        return crashes == 0
                ? day.badPerSecond() == 0
                : nowMillis > badCrashMillis.get(crashes - 1) + 2 * CONTACT_MILLIS;
    }

    private void respond() {
        for (Running done : List.copyOf(running)) {
            if (done.respondsMillis() > nowMillis || !running.contains(done)) {
                continue;
            }
            Request request = done.request();
            if (request.bad() && isBadNow()) {
                badCrashMillis.add(nowMillis);
                crash(done.rank());
            } else {
                running.remove(done);
                broadcast(request.entry(), ledgers.get(request.entry()).clear(request.parts()));
            }
        }
    }

    private void crash(int rank) {
        Target.Key target = new Target.Key("i-" + rank, incarnations[rank]++);
        for (Running lost : running) {
            Request request = lost.request();
            if (lost.rank() == rank) {
                Suspect suspect = new Suspect(request.fingerprint(), request.parts());
                broadcast(request.entry(), ledgers.get(request.entry()).recordCrash(suspect, target));
            }
            if (request.sends() < 2) {
                waiting.add(request);
            }
        }
        running.clear();
        opensMillis = nowMillis + CLOSED_MILLIS;
    }

    private void broadcast(int from, List<PartReport> reports) {
        for (int start = 0; start < reports.size(); start += REPORTS_PER_DATAGRAM) {
            List<PartReport> part = reports.subList(start, Math.min(reports.size(), start + REPORTS_PER_DATAGRAM));
            IntStream.range(0, day.entries()).filter(entry -> entry != from).forEach(entry -> transmit(entry, part));
        }
    }

    private void repeat() {
        for (PartLedger ledger : ledgers) {
            for (int i = 0; i < PEERS_PER_REPEAT && !ledger.isEmpty(); i++) {
                transmit(random.nextInt(day.entries()), ledger.nextReports(REPORTS_PER_DATAGRAM));
            }
        }
    }

    private void transmit(int entry, List<PartReport> reports) {
        datagrams++;
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

    private CrashingPartResult result() {
        int lateArrivals = badCrashMillis.size() < CRASHES
                ? 0
                : (int) badArrivalMillis.stream()
                        .filter(millis -> millis > badCrashMillis.get(CRASHES - 1) + CONTACT_MILLIS)
                        .count();
        return new CrashingPartResult(
                badCrashMillis.size(), lateArrivals, soundSettled, soundRefused, datagrams / (double) day.entries());
    }
}
