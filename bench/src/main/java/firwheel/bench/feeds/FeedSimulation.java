package firwheel.bench.feeds;

import firwheel.bench.VirtualEventLoop;
import firwheel.mesh.ReaderRole;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.LongConsumer;
import org.HdrHistogram.Histogram;

/**
 * Entries of three zones that keep up with a store in virtual time, under faults. The decision who reads is that of
 * {@link ReaderRole}; the network, the store and the polls are models. A change has to be in force within a time limit
 * at each entry that has not been disturbed for a while.
 */
public final class FeedSimulation {
    private static final int ZONES = 3;
    private static final Duration BOUND = Duration.ofSeconds(2);
    private static final Duration CONTACT = Duration.ofSeconds(3); // undisturbed entries are in touch after this time
    private static final Duration DELAY_IN_ZONE = Duration.ofNanos(400_000L);
    private static final Duration DELAY_BETWEEN_ZONES = Duration.ofNanos(1_800_000);
    private static final double LOSS = 0.01;
    private static final int RELAYS = 2;
    private static final int ANNOUNCEMENT_BYTES = 160;
    private static final int FETCH_BYTES = 8_000;
    private static final Duration FETCH_TIME = Duration.ofMillis(20);
    private static final Duration START_SPREAD = Duration.ofMillis(300);
    private static final Duration WARM_UP = Duration.ofSeconds(10);
    private static final Duration FAULT_AGE = Duration.ofMillis(10); // a change comes just after a fault

    /** A fault that starts just before a change. */
    public enum Fault {
        NONE,
        READERS_FROZEN,
        READERS_KILLED,
        READERS_TURNED_AWAY,
        READERS_NOT_ANSWERED,
        READERS_CUT_OFF_FROM_PEERS,
        THIRD_TURNED_AWAY,
        THIRD_NOT_ANSWERED,
        THIRD_FROZEN,
        STORE_DOWN,
        ALL_RESTARTED
    }

    /**
     * Result of one simulation.
     *
     * @param calls calls to the store from the end of the warm-up
     * @param callsToStart calls to the store before
     * @param bytes bytes sent between entries
     * @param delayMillis time until a change was in force, for each change and entry that was in touch
     * @param late changes that were not in force at an entry in touch within the time limit
     */
    public record Result(long calls, long callsToStart, long bytes, Histogram delayMillis, long late) {}

    private record Change(long version, long madeNanos) {}

    private final VirtualEventLoop loop = new VirtualEventLoop();
    private final SimulatedStore store = new SimulatedStore(loop);
    private final FeedPolicy policy;
    private final Random random;
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private final Histogram delays = new Histogram(3);
    private long bytes;
    private long late;
    private long storeTroubledUntilNanos = Long.MIN_VALUE / 2;

    private FeedSimulation(FeedPolicy policy, int entryCount, long seed) {
        this.policy = policy;
        random = new Random(seed);
        ReaderRole.Limits limits = ReaderRole.Limits.forBound(BOUND);
        for (int i = 0; i < entryCount; i++) {
            entries.add(new SimulatedEntry(this, loop, policy, limits, random, i, i % ZONES));
        }
    }

    /**
     * Simulates {@code rounds} changes. Each second one comes just after the fault starts, the others while it lasts or
     * after its end.
     */
    public static Result run(FeedPolicy policy, int entryCount, Fault fault, int rounds, long seed) {
        return new FeedSimulation(policy, entryCount, seed).run(fault, rounds);
    }

    private Result run(Fault fault, int rounds) {
        entries.forEach(entry -> loop.schedule((long) (random.nextDouble() * START_SPREAD.toNanos()), entry::start));
        advance(WARM_UP);
        long callsToStart = store.calls();
        for (int round = 0; round < rounds; round++) {
            advance(Duration.ofMillis(random.nextInt(4_000) + 5_000L));
            List<SimulatedEntry> disturbed = begin(fault);
            advance(FAULT_AGE);
            change();
            advance(Duration.ofSeconds(3));
            change();
            advance(Duration.ofMillis(random.nextInt(3_000)));
            end(fault, disturbed);
            advance(CONTACT.plusMillis(random.nextInt(500)));
            change();
            advance(BOUND.plusMillis(1));
        }
        return new Result(store.calls() - callsToStart, callsToStart, bytes, delays, late);
    }

    private void advance(Duration duration) {
        loop.schedule(duration.toNanos(), () -> {});
        loop.runUntil(loop.nowNanos() + duration.toNanos());
    }

    SimulatedStore store() {
        return store;
    }

    private void change() {
        store.change();
        Change change = new Change(store.version(), loop.nowNanos());
        changes.add(change);
        loop.schedule(BOUND.toNanos(), () -> entries.stream()
                .filter(entry -> isInTouch(entry) && entry.known() < change.version())
                .forEach(entry -> late++));
    }

    private boolean isInTouch(SimulatedEntry entry) {
        return entry.access() == SimulatedStore.Access.ANSWERED
                && entry.undisturbedFor(CONTACT)
                && loop.nowNanos() - storeTroubledUntilNanos >= CONTACT.toNanos();
    }

    /** Records when an entry learns of a version; the delay of each change counts once for each entry. */
    void onKnown(SimulatedEntry entry, long version) {
        if (!isInTouch(entry)) {
            return;
        }
        changes.stream()
                .filter(change -> change.version() == version)
                .forEach(change -> delays.recordValue(
                        Duration.ofNanos(loop.nowNanos() - change.madeNanos()).toMillis()));
    }

    /** Sends an announcement through relays of each zone, or of the reader's zone only. */
    void announce(SimulatedEntry reader, ReaderRole.Answer answer, long version) {
        for (int zone = 0; zone < ZONES; zone++) {
            boolean own = zone == reader.zone();
            boolean included = own || policy.sharing() == FeedPolicy.Sharing.DEPLOYMENT;
            if (included && zone < entries.size()) {
                for (int i = 0; i < RELAYS; i++) {
                    relay(reader, zone, own ? DELAY_IN_ZONE : DELAY_BETWEEN_ZONES, answer, version);
                }
            }
        }
    }

    private void relay(SimulatedEntry reader, int zone, Duration delay, ReaderRole.Answer answer, long version) {
        List<SimulatedEntry> members =
                entries.stream().filter(entry -> entry.zone() == zone).toList();
        SimulatedEntry relay = members.get(random.nextInt(members.size()));
        bytes += ANNOUNCEMENT_BYTES;
        if (isLost(reader, relay)) {
            return;
        }
        loop.schedule(
                delay.toNanos(),
                () -> members.forEach(member -> {
                    bytes += ANNOUNCEMENT_BYTES;
                    if (member != reader && !isLost(relay, member)) {
                        loop.schedule(DELAY_IN_ZONE.toNanos(), () -> member.onAnnounced(reader, answer, version));
                    }
                }));
    }

    private boolean isLost(SimulatedEntry from, SimulatedEntry to) {
        return !from.running() || !to.running() || from.cutOff() || to.cutOff() || random.nextDouble() < LOSS;
    }

    /** Fetches the state of a peer; nothing is received from one that cannot answer. */
    void fetch(SimulatedEntry entry, SimulatedEntry peer, LongConsumer onFetched) {
        loop.schedule(FETCH_TIME.toNanos(), () -> {
            if (peer.running() && !peer.cutOff() && !entry.cutOff()) {
                bytes += FETCH_BYTES;
                onFetched.accept(peer.known());
            }
        });
    }

    private List<SimulatedEntry> begin(Fault fault) {
        List<SimulatedEntry> disturbed = affected(fault);
        switch (fault) {
            case READERS_FROZEN, THIRD_FROZEN -> disturbed.forEach(SimulatedEntry::freeze);
            case READERS_KILLED, ALL_RESTARTED -> disturbed.forEach(SimulatedEntry::stop);
            case READERS_TURNED_AWAY, THIRD_TURNED_AWAY ->
                disturbed.forEach(entry -> entry.setAccess(SimulatedStore.Access.REFUSED));
            case READERS_NOT_ANSWERED, THIRD_NOT_ANSWERED ->
                disturbed.forEach(entry -> entry.setAccess(SimulatedStore.Access.SILENT));
            case READERS_CUT_OFF_FROM_PEERS -> disturbed.forEach(entry -> entry.setCutOff(true));
            case STORE_DOWN -> setStoreDown(true);
            case NONE -> {}
        }
        return disturbed;
    }

    private void end(Fault fault, List<SimulatedEntry> disturbed) {
        switch (fault) {
            case READERS_FROZEN, THIRD_FROZEN -> disturbed.forEach(SimulatedEntry::wake);
            case READERS_KILLED, ALL_RESTARTED -> disturbed.forEach(SimulatedEntry::start);
            case READERS_TURNED_AWAY, THIRD_TURNED_AWAY, READERS_NOT_ANSWERED, THIRD_NOT_ANSWERED ->
                disturbed.forEach(entry -> entry.setAccess(SimulatedStore.Access.ANSWERED));
            case READERS_CUT_OFF_FROM_PEERS -> disturbed.forEach(entry -> entry.setCutOff(false));
            case STORE_DOWN -> setStoreDown(false);
            case NONE -> {}
        }
    }

    private void setStoreDown(boolean down) {
        store.setDown(down);
        storeTroubledUntilNanos = down ? Long.MAX_VALUE / 2 : loop.nowNanos();
    }

    private List<SimulatedEntry> affected(Fault fault) {
        return switch (fault) {
            case NONE, STORE_DOWN -> List.of();
            case ALL_RESTARTED -> entries;
            case THIRD_TURNED_AWAY, THIRD_NOT_ANSWERED, THIRD_FROZEN -> randomThird();
            default -> readers();
        };
    }

    private List<SimulatedEntry> readers() {
        List<SimulatedEntry> readers =
                entries.stream().filter(SimulatedEntry::reading).toList();
        // Where all entries read, a single one is affected.
        return readers.size() > ZONES ? readers.subList(0, 1) : readers;
    }

    private List<SimulatedEntry> randomThird() {
        List<SimulatedEntry> shuffled = new ArrayList<>(entries);
        Collections.shuffle(shuffled, random);
        return List.copyOf(shuffled.subList(0, entries.size() / 3));
    }
}
