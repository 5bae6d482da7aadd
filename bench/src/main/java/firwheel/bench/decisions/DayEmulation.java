package firwheel.bench.decisions;

import firwheel.bench.VirtualEventLoop;
import firwheel.bench.decisions.EmulatedDay.Fault;
import firwheel.proxy.balance.GroupStates;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Plays a day in virtual time. The same day, variant and seed always give the same result. */
public final class DayEmulation {
    private static final Duration CONTROLLER_GAP = Duration.ofMillis(1_200); // until another controller is elected
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(250); // of a controller
    private static final Duration REPORT_DELAY = Duration.ofMillis(30);
    private static final Duration TAIL = Duration.ofSeconds(12); // callers have left by then
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double PROMPT_SPREAD = 0.75;
    private static final double EVENTS_SPREAD = 0.6;
    private static final double MAX_FACTOR = 2.5; // of the mean number of events

    private final VirtualEventLoop loop = new VirtualEventLoop();
    private final EmulatedDay day;
    private final Random random;
    private final Random arrivals;
    private final EmulatedNetwork network;
    private final EmulatedGroup group;
    private final List<EmulatedEntry> entries = new ArrayList<>();
    private final DayResult result = new DayResult();
    private double burst = 1;
    private long reportsFromNanos;
    private long demandVersion;

    private DayEmulation(EmulatedDay day, EngineTimes engine, Variant variant, long seed) {
        this.day = day;
        random = new Random(seed);
        arrivals = new Random(~seed);
        network = new EmulatedNetwork(loop, day.zones());
        group = new EmulatedGroup(loop, engine, network, day.ranks(), day.imbalance());
        for (int i = 0; i < day.entries(); i++) {
            entries.add(new EmulatedEntry(loop, network, group, engine, day, variant, random, i % day.zones()));
        }
    }

    /** Plays the day. */
    public static DayResult run(EmulatedDay day, EngineTimes engine, Variant variant, long seed) {
        return new DayEmulation(day, engine, variant, seed).run();
    }

    private DayResult run() {
        day.faults().forEach(fault -> loop.schedule(fault.at().toNanos(), () -> begin(fault)));
        loop.schedule(0, this::report);
        loop.schedule(0, this::arrive);
        loop.runUntil(day.length().plus(TAIL).toNanos());
        return result;
    }

    private void arrive() {
        if (loop.nowNanos() >= day.length().toNanos()) {
            return;
        }
        int zone = arrivals.nextInt(day.zones());
        int promptTokens = (int) Math.max(1, day.promptTokens() * factor(PROMPT_SPREAD));
        int events = (int) Math.max(1, Math.round(day.events() * Math.min(MAX_FACTOR, factor(EVENTS_SPREAD))));
        new Caller(loop, day, zone, promptTokens, events, this::send, result::add).start();
        double pauseSeconds = -Math.log(1 - arrivals.nextDouble()) / (day.requestsPerSecond() * burst);
        loop.schedule((long) (pauseSeconds * 1e9), this::arrive);
    }

    /** Returns a factor with mean 1 and a log-normal distribution. */
    private double factor(double sigma) {
        return Math.exp(sigma * arrivals.nextGaussian() - sigma * sigma / 2);
    }

    private void send(Caller caller) {
        List<EmulatedEntry> reachable =
                entries.stream().filter(entry -> entry.zone() == caller.zone()).toList();
        EmulatedEntry entry = reachable.get(random.nextInt(reachable.size()));
        if (caller.gone()) {
            return;
        }
        if (entry.running()) {
            entry.handle(caller);
        } else {
            caller.onNotConnected();
        }
    }

    private void report() {
        if (loop.nowNanos() >= reportsFromNanos) {
            int[] requests = new int[group.size()];
            for (int rank = 0; rank < requests.length; rank++) {
                requests[rank] = group.outstanding(rank);
            }
            boolean open = group.state() == EmulatedGroup.State.OPEN || group.state() == EmulatedGroup.State.STALLED;
            long epoch = group.epoch();
            loop.schedule(
                    REPORT_DELAY.toNanos(), () -> entries.forEach(entry -> deliver(entry, epoch, open, requests)));
        }
        loop.schedule(REPORT_INTERVAL.toNanos(), this::report);
    }

    /** Delivers the report of the controller on the entry's side of a cut. */
    private void deliver(EmulatedEntry entry, long epoch, boolean open, int[] requests) {
        boolean[] readable = new boolean[requests.length];
        int missing = 0;
        for (int rank = 0; rank < readable.length; rank++) {
            readable[rank] = network.connected(entry.zone(), network.zoneOfRank(rank));
            missing += readable[rank] ? 0 : 1;
        }
        entry.onReport(new GroupStates.Reading(EmulatedEntry.groupName(), epoch, open, missing), requests, readable);
    }

    private void begin(Fault fault) {
        switch (fault.kind()) {
            case ZONE_CUT -> cutZone(fault);
            case ENTRIES_RESTART -> restartEntries(fault);
            case DEMAND_SHIFT -> shiftDemand();
            case BURST -> {
                burst = fault.strength();
                loop.schedule(fault.length().toNanos(), () -> burst = 1);
            }
        }
    }

    private void cutZone(Fault fault) {
        int zone = (int) fault.strength();
        network.cut(zone);
        group.loseRank(zone);
        pauseReports();
        loop.schedule(fault.length().toNanos(), () -> {
            network.heal();
            group.returnRank(opened -> shiftDemand());
        });
    }

    private void restartEntries(Fault fault) {
        group.cancelAll();
        entries.forEach(EmulatedEntry::stop);
        loop.schedule(fault.length().toNanos(), () -> {
            entries.forEach(EmulatedEntry::start);
            group.misdirectFor(Duration.ofMillis((long) (fault.strength() * MILLIS_PER_SECOND)));
            pauseReports();
        });
    }

    private void pauseReports() {
        reportsFromNanos = loop.nowNanos() + CONTROLLER_GAP.toNanos();
    }

    /** Lets the map in use not fit the demand until the controller has rolled out another one. */
    private void shiftDemand() {
        long version = ++demandVersion;
        group.setImbalance(day.firstImbalance());
        loop.schedule(day.mapTime().toNanos(), () -> {
            if (version == demandVersion) {
                group.setImbalance(day.imbalance());
            }
        });
    }
}
