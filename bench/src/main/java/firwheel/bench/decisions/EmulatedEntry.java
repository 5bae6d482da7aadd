package firwheel.bench.decisions;

import firwheel.bench.VirtualEventLoop;
import firwheel.proxy.balance.GroupStates;
import firwheel.proxy.balance.HeldRequests;
import firwheel.proxy.balance.RetryAfterPolicy;
import firwheel.proxy.balance.RetryAfterPolicy.Reason;
import firwheel.proxy.balance.TargetSelector;
import firwheel.proxy.balance.WaitPolicy;
import firwheel.proxy.targets.GroupMembership;
import firwheel.proxy.targets.Target;
import firwheel.proxy.targets.TargetDirectory;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** An entry: the decision classes of the product, with the control flow of its request handler as a model. */
final class EmulatedEntry {
    private static final String SERVICE = "model";
    private static final String GROUP = "group";
    private static final String ID_PREFIX = "rank-";
    private static final int PORT = 80;
    private static final int MAX_ATTEMPTS = 2;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration WAIT_POLL = Duration.ofMillis(20);
    private static final int MAX_WAITING = 256;

    private final VirtualEventLoop loop;
    private final EmulatedNetwork network;
    private final EmulatedGroup group;
    private final EngineTimes engine;
    private final EmulatedDay day;
    private final Variant variant;
    private final Random random;
    private final int zone;
    private final Set<Exchange> exchanges = new LinkedHashSet<>();
    private TargetDirectory directory = new TargetDirectory(target -> {});
    private TargetSelector selector;
    private HeldRequests<Exchange> waiting;
    private boolean running = true;
    private boolean polling;

    EmulatedEntry(
            VirtualEventLoop loop,
            EmulatedNetwork network,
            EmulatedGroup group,
            EngineTimes engine,
            EmulatedDay day,
            Variant variant,
            Random random,
            int zone) {
        this.loop = loop;
        this.network = network;
        this.group = group;
        this.engine = engine;
        this.day = day;
        this.variant = variant;
        this.random = random;
        this.zone = zone;
        selector = newSelector();
        waiting = newWaiting();
    }

    private TargetSelector newSelector() {
        directory = new TargetDirectory(target -> {});
        for (int rank = 0; rank < group.size(); rank++) {
            GroupMembership membership = new GroupMembership(GROUP, group.epoch(), rank, true);
            directory.put(new Target(
                    ID_PREFIX + rank,
                    1,
                    SERVICE,
                    ip(rank),
                    PORT,
                    "zone-" + network.zoneOfRank(rank),
                    engine.slots(),
                    false,
                    membership));
        }
        TargetSelector created = new TargetSelector(directory, "zone-" + zone, loop.time(), random::nextDouble);
        created.setEntryCount(day.entries());
        return created;
    }

    private HeldRequests<Exchange> newWaiting() {
        return new HeldRequests<>(loop.time(), MAX_WAITING, Long.MAX_VALUE);
    }

    private static int rankOf(Target target) {
        return Integer.parseInt(target.instanceId().substring(ID_PREFIX.length()));
    }

    private static String ip(int rank) {
        return "10.0.0." + rank;
    }

    int zone() {
        return zone;
    }

    boolean running() {
        return running;
    }

    /** Ends the process; what it was doing is lost. */
    void stop() {
        running = false;
        Set<Exchange> lost = new LinkedHashSet<>(exchanges);
        exchanges.clear();
        lost.forEach(exchange -> exchange.caller.onConnectionClosed());
    }

    /** Starts a process that knows only what is registered. */
    void start() {
        running = true;
        selector = newSelector();
        waiting = newWaiting();
    }

    /** Receives the load of each rank that the controller could read. */
    void onReport(GroupStates.Reading reading, int[] requests, boolean[] readable) {
        if (!running) {
            return;
        }
        selector.groups().onReport(reading);
        long now = loop.nowNanos();
        for (int rank = 0; rank < requests.length; rank++) {
            Target target = directory.find(ID_PREFIX + rank);
            if (target != null && readable[rank]) {
                selector.load(target).onReport(now, requests[rank], 1);
            } else if (target != null) {
                selector.load(target).onReportedUnreachable(now);
            }
        }
    }

    static String groupName() {
        return GROUP;
    }

    /** Handles a request of a caller. */
    void handle(Caller caller) {
        Exchange exchange = new Exchange(caller);
        exchanges.add(exchange);
        exchange.sendToRank();
    }

    private void startPolling() {
        if (!polling) {
            polling = true;
            loop.schedule(WAIT_POLL.toNanos(), this::poll);
        }
    }

    private void poll() {
        polling = false;
        if (!running) {
            return;
        }
        for (int count = waiting.size(); count > 0; count--) {
            HeldRequests.Ended<Exchange> ended =
                    waiting.next(selector::hasPlace, service -> selector.timeToOpen(service) != null);
            if (ended == null) {
                break;
            }
            ended.request().onWaitEnded(ended.end());
        }
        if (waiting.size() > 0) {
            startPolling();
        }
    }

    /** One request of a caller, with its attempts at ranks. */
    private final class Exchange implements EmulatedRequest.Listener {
        private final Caller caller;
        private final long arrivedNanos = loop.nowNanos();
        private final Set<Target.Key> tried = new HashSet<>();
        private int sends;
        private boolean started;
        private @Nullable Target target;

        Exchange(Caller caller) {
            this.caller = caller;
        }

        private boolean ended() {
            return !exchanges.contains(this) || caller.gone();
        }

        void sendToRank() {
            Target selected = selector.select(SERVICE, tried);
            if (selected == null) {
                if (!tryWait()) {
                    refuse(selector.shortage(SERVICE));
                }
                return;
            }
            target = selected;
            tried.add(selected.key());
            int rank = rankOf(selected);
            int rankZone = network.zoneOfRank(rank);
            if (!network.connected(zone, rankZone)) {
                loop.schedule(CONNECT_TIMEOUT.toNanos(), () -> onUnreachable(selected));
                return;
            }
            sends++;
            selector.load(selected).onSend();
            EmulatedRequest request = new EmulatedRequest(rank, zone, caller.promptTokens(), caller.eventsLeft(), this);
            caller.setAttempt(request);
            loop.schedule(network.delayNanos(zone, rankZone), () -> group.submit(request));
        }

        private void onUnreachable(Target unreachable) {
            selector.load(unreachable).onUnreachable(loop.nowNanos());
            if (!ended()) {
                sendToRank();
            }
        }

        private boolean tryWait() {
            if (started || selector.shortage(SERVICE) != Reason.NO_TARGET_AVAILABLE) {
                return false;
            }
            WaitPolicy.Situation situation = new WaitPolicy.Situation(
                    selector.timeToOpen(SERVICE) != null,
                    caller.returned(),
                    Duration.ofNanos(Math.min(day.patience().toNanos(), caller.deadlineNanos() - arrivedNanos)),
                    day.objective(),
                    Duration.ofNanos(loop.nowNanos() - arrivedNanos));
            long waitNanos = variant.waits().maxWait(situation).toNanos();
            boolean waits = waiting.tryAdd(new HeldRequests.Held<>(
                    this,
                    SERVICE,
                    loop.nowNanos() + waitNanos,
                    caller.deadlineNanos(),
                    0,
                    variant.waits().endsUnlessForming(situation)));
            if (waits) {
                startPolling();
            }
            return waits;
        }

        void onWaitEnded(HeldRequests.End end) {
            if (ended()) {
                return;
            }
            if (end == HeldRequests.End.OPEN) {
                tried.clear();
                sendToRank();
            } else {
                refuse(selector.shortage(SERVICE));
            }
        }

        private void refuse(Reason reason) {
            if (!exchanges.remove(this)) {
                return;
            }
            Duration remaining = Duration.ofNanos(caller.deadlineNanos() - loop.nowNanos());
            Duration delay = new RetryAfterPolicy(random::nextDouble, variant.spreads()).retryDelay(reason, remaining);
            loop.schedule(EmulatedNetwork.CLIENT_DELAY.toNanos(), () -> caller.onRefused(delay));
        }

        private void endAttempt() {
            if (target != null) {
                selector.load(target).onEnd();
            }
        }

        @Override
        public void onEvent(EmulatedRequest request) {
            if (!ended()) {
                started = true;
                loop.schedule(EmulatedNetwork.CLIENT_DELAY.toNanos(), caller::onEvent);
            }
        }

        @Override
        public void onComplete(EmulatedRequest request) {
            endAttempt();
            if (exchanges.remove(this)) {
                loop.schedule(EmulatedNetwork.CLIENT_DELAY.toNanos(), caller::onComplete);
            }
        }

        @Override
        public void onRefused(EmulatedRequest request, int lostRank) {
            endAttempt();
            Target refusing = target;
            if (refusing == null || ended()) {
                return;
            }
            if (lostRank >= 0) {
                selector.groups().onRefused(refusing, ip(lostRank) + ":" + PORT);
            }
            if (sends < MAX_ATTEMPTS && selector.hasCandidate(SERVICE, tried)) {
                sendToRank();
            } else if (!tryWait()) {
                refuse(selector.shortage(SERVICE));
            }
        }

        @Override
        public void onLost(EmulatedRequest request) {
            endAttempt();
            if (target != null) {
                selector.load(target).onFailure(loop.nowNanos());
            }
            if (ended()) {
                return;
            }
            if (sends < MAX_ATTEMPTS && selector.hasCandidate(SERVICE, tried)) {
                sendToRank();
            } else if (exchanges.remove(this)) {
                loop.schedule(EmulatedNetwork.CLIENT_DELAY.toNanos(), caller::onConnectionClosed);
            }
        }
    }
}
