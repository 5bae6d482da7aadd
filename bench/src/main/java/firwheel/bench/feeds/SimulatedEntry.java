package firwheel.bench.feeds;

import firwheel.bench.VirtualEventLoop;
import firwheel.mesh.ReaderRole;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** An entry that polls the store or follows others, as its {@link ReaderRole} decides. */
final class SimulatedEntry {
    private static final Duration JOIN_TIME = Duration.ofMillis(300); // through the store, which is a few calls
    private static final Duration REPLY_MARGIN = Duration.ofMillis(700);
    private static final Duration CATCH_UP_TIME = Duration.ofMillis(300);
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(1_500);

    private final FeedSimulation simulation;
    private final VirtualEventLoop loop;
    private final FeedPolicy policy;
    private final ReaderRole.Limits limits;
    private final Random random;
    private final String name;
    private final int zone;
    private final List<Runnable> suspended = new ArrayList<>();
    private ReaderRole role;
    private SimulatedStore.Access access = SimulatedStore.Access.ANSWERED;
    private boolean frozen;
    private boolean stopped;
    private boolean cutOff;
    private boolean joined;
    private long troubledUntilNanos = Long.MIN_VALUE / 2;
    private long incarnation;
    private long sequence;
    private long known = -1;
    private long pollGeneration;
    private long lastPollNanos;
    private Duration retryDelay = MIN_RETRY_DELAY;

    SimulatedEntry(
            FeedSimulation simulation,
            VirtualEventLoop loop,
            FeedPolicy policy,
            ReaderRole.Limits limits,
            Random random,
            int index,
            int zone) {
        this.simulation = simulation;
        this.loop = loop;
        this.policy = policy;
        this.limits = limits;
        this.random = random;
        this.zone = zone;
        name = String.format("10.0.%03d.%03d", index / 250, index % 250);
        role = newRole();
    }

    private ReaderRole newRole() {
        return new ReaderRole(loop.time(), random::nextDouble, name, limits);
    }

    int zone() {
        return zone;
    }

    long known() {
        return known;
    }

    SimulatedStore.Access access() {
        return access;
    }

    boolean reading() {
        return role.reading() && !stopped;
    }

    boolean running() {
        return !stopped && !frozen;
    }

    boolean cutOff() {
        return cutOff;
    }

    /** Returns whether nothing has disturbed this entry for the given time. */
    boolean undisturbedFor(Duration time) {
        return running() && !cutOff && loop.nowNanos() - troubledUntilNanos >= time.toNanos();
    }

    void setAccess(SimulatedStore.Access access) {
        this.access = access;
        troubledUntilNanos = loop.nowNanos();
    }

    void setCutOff(boolean cutOff) {
        this.cutOff = cutOff;
        troubledUntilNanos = loop.nowNanos();
    }

    void freeze() {
        frozen = true;
    }

    void wake() {
        frozen = false;
        troubledUntilNanos = loop.nowNanos();
        List.copyOf(suspended).forEach(Runnable::run);
        suspended.clear();
    }

    void stop() {
        stopped = true;
    }

    /** Starts a process that knows nothing of an earlier one. */
    void start() {
        stopped = false;
        troubledUntilNanos = loop.nowNanos();
        incarnation++;
        sequence = 0;
        known = -1;
        role = newRole();
        if (policy.sharing() == FeedPolicy.Sharing.NONE) {
            role.startReading();
        }
        poll(Duration.ZERO);
        joined = false;
        after(JOIN_TIME, () -> {
            joined = true;
            role.onJoined();
            scheduleRead();
        });
    }

    /** Runs an action of this process, later if it is suspended. */
    private void run(Runnable action) {
        if (frozen) {
            suspended.add(action);
        } else if (!stopped) {
            action.run();
        }
    }

    private void after(Duration delay, Runnable action) {
        long scheduledIncarnation = incarnation;
        loop.schedule(
                delay.toNanos(),
                () -> run(() -> {
                    if (scheduledIncarnation == incarnation) {
                        action.run();
                    }
                }));
    }

    private void scheduleRead() {
        after(role.untilRead().plusMillis(1), () -> {
            if (!role.reading() && role.untilRead().isZero()) {
                role.startReading();
                poll(Duration.ZERO);
            }
            if (!role.reading()) {
                scheduleRead();
            }
        });
    }

    private Duration pollWait() {
        return policy.sharing() == FeedPolicy.Sharing.NONE ? policy.pollWait() : limits.pollWait();
    }

    private void poll(Duration wait) {
        long generation = ++pollGeneration;
        lastPollNanos = loop.nowNanos();
        simulation.store().poll(this, known, wait, version -> run(() -> onReply(generation, version)));
        after(wait.plus(REPLY_MARGIN), () -> onReply(generation, -1));
    }

    private void onReply(long generation, long version) {
        if (generation != pollGeneration) {
            return;
        }
        pollGeneration++;
        if (version < 0) {
            role.onFailure();
            pollAgain(retryDelay);
            retryDelay = min(retryDelay.multipliedBy(2), MAX_RETRY_DELAY);
            return;
        }
        retryDelay = MIN_RETRY_DELAY;
        sequence++;
        role.onAnswer();
        learn(version);
        if (joined && role.reading() && policy.sharing() != FeedPolicy.Sharing.NONE) {
            simulation.announce(this, new ReaderRole.Answer(name, incarnation, sequence), known);
        }
        Duration sinceLastPoll = Duration.ofNanos(loop.nowNanos() - lastPollNanos);
        pollAgain(policy.pollInterval().minus(sinceLastPoll));
    }

    private void pollAgain(Duration delay) {
        long generation = pollGeneration;
        after(delay.isNegative() ? Duration.ZERO : delay, () -> {
            if (generation == pollGeneration && (role.reading() || known < 0)) {
                poll(retryDelay.equals(MIN_RETRY_DELAY) ? pollWait() : Duration.ZERO);
            }
        });
    }

    /** Receives an announcement of {@code reader}, which knows the given version. */
    void onAnnounced(SimulatedEntry reader, ReaderRole.Answer answer, long version) {
        run(() -> {
            if (!joined) {
                return;
            }
            boolean wasReading = role.reading();
            role.onAnnounced(answer);
            if (wasReading && !role.reading()) {
                scheduleRead();
            }
            if (version > known && !role.reading()) {
                simulation.fetch(this, reader, fetched -> run(() -> learn(fetched)));
                after(CATCH_UP_TIME, () -> {
                    if (version > known) {
                        poll(Duration.ZERO);
                    }
                });
            }
        });
    }

    private void learn(long version) {
        if (version > known) {
            known = version;
            simulation.onKnown(this, version);
        }
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }
}
