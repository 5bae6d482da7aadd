package firwheel.rebalance;

import firwheel.experts.rollout.MapRollout;
import firwheel.experts.rollout.RankOrder;
import firwheel.experts.rollout.RankView;
import firwheel.mesh.AuthenticatedHttp;
import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.TimeSource;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Controls the expert map of a group. A controller runs beside every rank; the elected one reads the expert selections
 * of all ranks, plans new maps and rolls them out. The others campaign for election once they have not heard from a
 * controller for the election timeout. All methods run on one event loop.
 */
public final class MapController {
    /**
     * Dependencies of the controller.
     *
     * @param agentIps returns the IP addresses of all live agents but this one
     * @param engineAt returns a client of the engine at an address, for ranks whose agent does not respond
     * @param policy returns the policy of the group, or null until its configuration is known
     * @param reports receives the result of each reading of the group
     * @param knownEngines returns the engines recently reported by a controller, for ranks whose agent does not respond
     * @param metrics metrics of the controller
     */
    public record Environment(
            Supplier<List<String>> agentIps,
            Function<EngineAddress, Engine> engineAt,
            Supplier<@Nullable MapPolicy> policy,
            Consumer<GroupReport> reports,
            Supplier<Set<EngineAddress>> knownEngines,
            MapMetrics metrics) {}

    /** Address and state of the engine of a rank. */
    public record RankLoad(EngineAddress engine, EngineState state) {}

    /**
     * Result of reading a group.
     *
     * @param group name of the group
     * @param open whether all ranks that were read report that the group is running steps
     * @param loads states of the ranks that were read
     * @param unreachable engines that could be read neither through their agent nor directly
     */
    public record GroupReport(String group, boolean open, List<RankLoad> loads, Set<EngineAddress> unreachable) {}

    private static final Duration READ_INTERVAL =
            Duration.ofMillis(250); // a quarter of the time to load and switch to a new map
    private static final Duration LOADING_INTERVAL = Duration.ofMillis(60); // about the time to load one expert
    private static final Duration HOLD_INTERVAL =
            Duration.ofMillis(5); // short, since the hold must be released before the group reaches the step
    private static final Duration CALL_TIMEOUT =
            Duration.ofMillis(250); // the round trip between hosts is a few milliseconds
    private static final Duration HOLDING_CALL_TIMEOUT =
            Duration.ofMillis(80); // leaves time for three lost orders between a hold and its step
    private static final Duration ELECTION_TIMEOUT =
            Duration.ofMillis(700); // two missed readings; keeps a hold by a failed controller below two seconds
    private static final Duration ELECTION_STAGGER =
            Duration.ofMillis(50); // lets the first candidate usually win before the next one campaigns
    private static final Duration INITIAL_ELECTION_TIMEOUT =
            Duration.ofMillis(500); // a live controller discovers and reads a new agent sooner
    private static final long VERSIONS_PER_TERM = 1_000_000; // lasts for days at two versions per second
    private static final int MAX_INCOMPLETE_READS = 8; // if calls time out, about as long as a hold may block the group
    private static final MapRollout.Limits ROLLOUT_LIMITS = new MapRollout.Limits(
            8,
            Duration.ofSeconds(4),
            Duration.ofMillis(600),
            Duration.ofMillis(400)); // arming ends before the group reaches the held step
    private static final Logger logger = LoggerFactory.getLogger(MapController.class);

    private static final String NO_AGENT_IP =
            "silent"; // placeholder for the IP address of an agent that does not respond
    private static final Duration AGENT_BYPASS_TIME =
            Duration.ofSeconds(2); // an agent that failed is bypassed for this long

    private final Vertx vertx;
    private final TimeSource time;
    private final RankAgent agent;
    private final Engine engine;
    private final AuthenticatedHttp http;
    private final ControllerElection election;
    private final Environment environment;
    private final ReadingLog readingLog;
    private final Map<Integer, RankRoute> ranks = new TreeMap<>();
    private String group = "";
    private long term;
    private long epoch = -1;
    private boolean takeoverComplete;
    private long usedVersions;
    private Map<Integer, long[]> lastCounts = Map.of();
    private @Nullable MapRollout rollout;
    private int[][][] currentPlacement = {};
    private final Map<String, Long> agentFailedNanos = new HashMap<>();
    private int incompleteReads;
    private long lastReportNanos;
    private Duration electionTimeout = INITIAL_ELECTION_TIMEOUT;
    private boolean placementKnown;
    private long currentVersion = RankView.NONE;

    /** Agent and engine of a rank. An empty {@code agentIp} is the local agent. */
    private record RankRoute(String agentIp, EngineAddress engine) {}

    /** Reading of a rank, null if it failed, and the IP address of its agent; an empty one is the local agent. */
    private record RankReading(String agentIp, RankCall.@Nullable Reading reading) {}

    /** Creates a controller; {@code engine} is the engine of the local rank. */
    public MapController(
            Vertx vertx,
            TimeSource time,
            RankAgent agent,
            Engine engine,
            AuthenticatedHttp http,
            ControllerElection election,
            Environment environment) {
        this.vertx = vertx;
        this.time = time;
        this.agent = agent;
        this.engine = engine;
        this.http = http;
        this.election = election;
        this.environment = environment;
        readingLog = new ReadingLog(time, http, environment.metrics());
    }

    /** Starts the controller, which runs until the process ends. */
    public void start() {
        vertx.setTimer(READ_INTERVAL.toMillis(), id -> tick());
    }

    private void tick() {
        CompletableFuture<Void> iteration = CompletableFuture.<Void>completedFuture(null)
                .thenCompose(begun -> term > 0 && term >= agent.term() ? control() : follow());
        var unused = iteration.whenComplete((done, error) -> {
            if (error != null) {
                logger.atInfo()
                        .addKeyValue("group", group)
                        .addKeyValue("reason", String.valueOf(error.getMessage()))
                        .log("map controller iteration failed");
            }
            MapRollout active = rollout;
            Duration delay = active == null ? READ_INTERVAL : active.mayBlockGroup() ? HOLD_INTERVAL : LOADING_INTERVAL;
            vertx.setTimer(delay.toMillis(), id -> tick());
        });
    }

    /** Waits for requests from a controller and campaigns for election after the election timeout. */
    private CompletableFuture<Void> follow() {
        if (term > 0) {
            environment.metrics().setControlling(false);
            Events.log(logger, EventCode.LEASE_RELEASED, "group", group, "term", term, "newerTerm", agent.term());
            term = 0;
            rollout = null;
            agent.resetElectionTimer();
        }
        if (agent.timeSinceController().compareTo(electionTimeout) < 0) {
            return CompletableFuture.completedFuture(null);
        }
        return engine.state().thenCompose(state -> {
            group = state.group();
            Duration baseTimeout = agent.heardController() ? ELECTION_TIMEOUT : INITIAL_ELECTION_TIMEOUT;
            Duration timeout =
                    baseTimeout.plus(ELECTION_STAGGER.multipliedBy(state.view().rank()));
            if (group.isEmpty() || !timeout.equals(electionTimeout)) {
                electionTimeout = timeout;
                return CompletableFuture.<Void>completedFuture(null);
            }
            return campaign();
        });
    }

    private CompletableFuture<Void> campaign() {
        return election.tryBecomeController(group).thenAccept(wonTerm -> {
            agent.resetElectionTimer();
            if (wonTerm > 0) {
                term = wonTerm;
                agent.observeTerm(wonTerm);
                takeoverComplete = false;
                epoch = -1;
                usedVersions = 0;
                lastCounts = Map.of();
                MapPolicy policy = environment.policy().get();
                if (policy != null) {
                    policy.reset();
                }
                environment.metrics().setControlling(true);
                Events.log(logger, EventCode.LEASE_ACQUIRED, "group", group, "term", wonTerm);
            }
        });
    }

    private CompletableFuture<Void> control() {
        MapRollout active = rollout;
        return active == null ? readAndPlan() : advanceRollout(active);
    }

    /** Reads all ranks and starts a rollout if one is needed. */
    private CompletableFuture<Void> readAndPlan() {
        long startedNanos = time.monotonicNanos();
        List<CompletableFuture<RankReading>> calls = new ArrayList<>();
        RankCall.Read read = new RankCall.Read(term, true, !placementKnown);
        for (String ip : environment.agentIps().get()) {
            calls.add(readAgent(ip, read, CALL_TIMEOUT));
        }
        calls.add(agent.read(read).thenApply(reading -> new RankReading("", reading)));
        int agents = calls.size();
        return allOf(calls)
                .thenCompose(this::withUnreadEngines)
                .thenAccept(answers -> onGroupRead(answers, agents, startedNanos));
    }

    /** Adds direct readings of the known engines whose agent did not respond. */
    private CompletableFuture<List<RankReading>> withUnreadEngines(List<RankReading> answers) {
        Set<EngineAddress> unread = new HashSet<>(environment.knownEngines().get());
        answers.forEach(answer -> {
            RankCall.Reading reading = answer.reading();
            if (reading != null) {
                unread.remove(reading.engine());
            }
        });
        List<CompletableFuture<RankReading>> calls = new ArrayList<>();
        answers.forEach(answer -> calls.add(CompletableFuture.completedFuture(answer)));
        unread.forEach(address -> calls.add(orEmptyReading(address, readEngine(address))));
        return allOf(calls);
    }

    private CompletableFuture<RankReading> readEngine(EngineAddress address) {
        Engine client = environment.engineAt().apply(address);
        return client.state()
                .thenCombine(
                        client.placedExperts(),
                        (state, placed) ->
                                new RankReading(NO_AGENT_IP, new RankCall.Reading(term, address, state, null, placed)));
    }

    private void onGroupRead(List<RankReading> answers, int agents, long startedNanos) {
        Map<Integer, RankCall.Reading> readings = new HashMap<>();
        int size = 0;
        for (RankReading answer : answers) {
            RankCall.Reading reading = answer.reading();
            if (reading != null
                    && reading.state() != null
                    && reading.state().group().equals(group)) {
                int rank = reading.state().view().rank();
                readings.put(rank, reading);
                ranks.put(rank, new RankRoute(answer.agentIp(), reading.engine()));
                size = reading.state().groupSize();
            }
        }
        report(readings, environment.knownEngines().get());
        ReadingLog.Reading read = new ReadingLog.Reading(group, term, agents, readings.size(), size, startedNanos);
        readingLog.record(read, evaluate(readings, size));
    }

    private ReadingLog.Outcome evaluate(Map<Integer, RankCall.Reading> readings, int size) {
        List<RankView> views = GroupReadings.views(readings, size);
        if (views.isEmpty()) {
            return ReadingLog.Outcome.INCOMPLETE;
        }
        if (!GroupReadings.areInSameEpochWithSameMap(views)) {
            return ReadingLog.Outcome.RANKS_DISAGREE;
        }
        long previousVersion = currentVersion;
        currentVersion = views.get(0).mapVersion();
        if (views.get(0).epoch() != epoch || currentVersion != previousVersion) {
            placementKnown = false;
        }
        int[][][] placed = GroupReadings.placement(readings, size);
        if (placed.length > 0) {
            currentPlacement = placed;
            placementKnown = true;
        }
        if (views.get(0).epoch() != epoch) {
            epoch = views.get(0).epoch();
            lastCounts = Map.of();
            takeoverComplete = false;
        }
        if (!placementKnown) {
            return ReadingLog.Outcome.PLACEMENT_UNKNOWN;
        }
        if (!takeoverComplete || views.stream().anyMatch(RankView::isHolding)) {
            takeoverComplete = false;
            rollout =
                    MapRollout.takeOver(ROLLOUT_LIMITS, views, nextVersion(), currentPlacement, time.monotonicMillis());
            return ReadingLog.Outcome.TAKEOVER;
        }
        return planMap(readings, views);
    }

    private ReadingLog.Outcome planMap(Map<Integer, RankCall.Reading> readings, List<RankView> views) {
        MapPolicy policy = environment.policy().get();
        Map<Integer, long[]> counts = GroupReadings.counts(readings);
        long[] selections = GroupReadings.countIncrease(lastCounts, counts);
        lastCounts = counts;
        if (policy == null) {
            return ReadingLog.Outcome.NO_POLICY;
        }
        // After the group was formed again, the load measured before it is the best estimate for its first map.
        if (selections.length > 0) {
            policy.onSelections(selections);
        }
        double[] slowdowns = GroupReadings.slowdowns(readings, views.size());
        double imbalance = policy.imbalance(currentPlacement, slowdowns);
        environment.metrics().setMap(currentVersion, epoch, imbalance);
        long planStartedMillis = time.monotonicMillis();
        int[][][] planned = policy.plan(currentPlacement, slowdowns);
        if (planned == null) {
            return ReadingLog.Outcome.MAP_KEPT;
        }
        long version = nextVersion();
        Events.log(
                logger,
                EventCode.MAP_PLANNED,
                "group",
                group,
                "version",
                version,
                "imbalance",
                imbalance,
                "planned",
                policy.imbalance(planned, slowdowns),
                "planMillis",
                time.monotonicMillis() - planStartedMillis);
        rollout = MapRollout.start(
                ROLLOUT_LIMITS, views, version, views.size() - 1, planned, currentPlacement, time.monotonicMillis());
        return ReadingLog.Outcome.MAP_PLANNED;
    }

    /**
     * Returns a version above all of earlier terms and rollouts. Each rollout uses two: one to switch, one to abort.
     */
    private long nextVersion() {
        usedVersions += 2;
        return term * VERSIONS_PER_TERM + usedVersions;
    }

    /** Reads all ranks and sends the next orders of the rollout. */
    private CompletableFuture<Void> advanceRollout(MapRollout active) {
        List<CompletableFuture<RankReading>> calls = new ArrayList<>();
        RankCall.Read read = new RankCall.Read(term, false, false);
        ranks.values().forEach(rank -> calls.add(readRank(rank, read, active)));
        return allOf(calls).thenCompose(answers -> {
            Map<Integer, RankCall.Reading> readings = new HashMap<>();
            for (RankReading answer : answers) {
                RankCall.Reading reading = answer.reading();
                if (reading != null && reading.state() != null) {
                    readings.put(reading.state().view().rank(), reading);
                }
            }
            // Engines are read directly only while a hold may block the group.
            report(readings, active.mayBlockGroup() ? environment.knownEngines().get() : Set.of());
            List<RankView> views = GroupReadings.views(readings, ranks.size());
            if (views.isEmpty()) {
                return onIncompleteRead(active);
            }
            incompleteReads = 0;
            return sendOrders(active, active.nextOrders(views, time.monotonicMillis()));
        });
    }

    private CompletableFuture<Void> onIncompleteRead(MapRollout active) {
        if (++incompleteReads >= MAX_INCOMPLETE_READS) {
            Events.log(
                    logger, EventCode.MAP_ABORTED, "group", group, "reason", "ranks cannot be read", "state", active);
            incompleteReads = 0;
            takeoverComplete = false;
            rollout = null;
        }
        return CompletableFuture.completedFuture(null);
    }

    private CompletableFuture<Void> sendOrders(MapRollout active, List<RankOrder> orders) {
        if (active.finished()) {
            boolean switched = active.phase() == MapRollout.Phase.DONE;
            if (takeoverComplete || switched) {
                environment.metrics().countRollout(switched);
                Events.log(
                        logger,
                        switched ? EventCode.MAP_COMMITTED : EventCode.MAP_ABORTED,
                        "group",
                        group,
                        "version",
                        active.version(),
                        "state",
                        active);
            }
            takeoverComplete = true;
            rollout = null;
            return CompletableFuture.completedFuture(null);
        }
        List<CompletableFuture<Boolean>> calls = new ArrayList<>();
        orders.forEach(order -> calls.add(sendOrder(order)));
        return allOf(calls).thenApply(done -> null);
    }

    private CompletableFuture<Boolean> sendOrder(RankOrder order) {
        RankRoute rank = ranks.get(order.rank());
        if (rank == null) {
            return CompletableFuture.completedFuture(false);
        }
        if (rank.agentIp().isEmpty()) {
            return falseOnError(
                    order, agent.forwardOrder(new RankCall.Order(term, order)).thenApply(RankCall.OrderReply::taken));
        }
        MapRollout active = rollout;
        boolean endsRollout = order.action() != RankOrder.Action.ARM && order.action() != RankOrder.Action.HOLD;
        // Agents refuse orders from earlier terms, so only orders that end a rollout may be sent directly to the
        // engine.
        boolean mayBypassAgent = endsRollout && active != null && active.mayBlockGroup();
        Supplier<CompletableFuture<Boolean>> sendDirectly =
                () -> environment.engineAt().apply(rank.engine()).submit(order);
        if (mayBypassAgent && isAgentUnresponsive(rank)) {
            return falseOnError(order, sendDirectly.get());
        }
        CompletableFuture<Boolean> viaAgent = http.call(
                        rank.agentIp(),
                        RankCall.ORDER_PATH,
                        RankCall.encode(new RankCall.Order(term, order)),
                        active == null ? CALL_TIMEOUT : callTimeout(active))
                .thenApply(reply -> onOrderReply(RankCall.decode(reply, RankCall.OrderReply.class)));
        return falseOnError(order, mayBypassAgent ? orElseTry(viaAgent, sendDirectly) : viaAgent);
    }

    private boolean onOrderReply(RankCall.OrderReply reply) {
        agent.observeTerm(reply.term());
        return reply.taken();
    }

    private CompletableFuture<RankReading> readRank(RankRoute rank, RankCall.Read read, MapRollout active) {
        if (rank.agentIp().isEmpty()) {
            return orEmptyReading(rank.engine(), agent.read(read).thenApply(reading -> new RankReading("", reading)));
        }
        if (active.mayBlockGroup() && isAgentUnresponsive(rank)) {
            return readDirectly(rank);
        }
        CompletableFuture<RankReading> viaAgent = readAgent(rank.agentIp(), read, callTimeout(active));
        if (!active.mayBlockGroup()) {
            return viaAgent;
        }
        return viaAgent.thenCompose(
                answer -> answer.reading() != null ? CompletableFuture.completedFuture(answer) : readDirectly(rank));
    }

    private CompletableFuture<RankReading> readDirectly(RankRoute rank) {
        CompletableFuture<EngineState> state =
                environment.engineAt().apply(rank.engine()).state();
        return orEmptyReading(
                rank.engine(),
                state.thenApply(read ->
                        new RankReading(rank.agentIp(), new RankCall.Reading(term, rank.engine(), read, null, null))));
    }

    private boolean isAgentUnresponsive(RankRoute rank) {
        Long failedNanos = agentFailedNanos.get(rank.agentIp());
        boolean failedRecently =
                failedNanos != null && time.monotonicNanos() - failedNanos < AGENT_BYPASS_TIME.toNanos();
        return failedRecently || rank.agentIp().equals(NO_AGENT_IP);
    }

    private static Duration callTimeout(MapRollout active) {
        return active.mayBlockGroup() ? HOLDING_CALL_TIMEOUT : CALL_TIMEOUT;
    }

    private CompletableFuture<RankReading> readAgent(String ip, RankCall.Read read, Duration timeout) {
        return http.call(ip, RankCall.READ_PATH, RankCall.encode(read), timeout)
                .thenApply(reply -> {
                    RankCall.Reading reading = RankCall.decode(reply, RankCall.Reading.class);
                    agent.observeTerm(reading.term());
                    return new RankReading(ip, reading);
                })
                .exceptionally(error -> {
                    logger.atInfo()
                            .addKeyValue("agent", ip)
                            .addKeyValue("reason", String.valueOf(error.getMessage()))
                            .log("failed to read rank through its agent");
                    agentFailedNanos.put(ip, time.monotonicNanos());
                    return new RankReading(ip, null);
                });
    }

    private CompletableFuture<RankReading> orEmptyReading(EngineAddress engine, CompletableFuture<RankReading> answer) {
        return answer.exceptionally(error -> {
            logger.atInfo()
                    .addKeyValue("group", group)
                    .addKeyValue("engine", engine.ip() + ":" + engine.port())
                    .addKeyValue("reason", String.valueOf(error.getMessage()))
                    .log("failed to read engine of rank");
            return new RankReading("", null);
        });
    }

    private static CompletableFuture<Boolean> orElseTry(
            CompletableFuture<Boolean> first, Supplier<CompletableFuture<Boolean>> second) {
        return first.handle((taken, error) -> error == null).thenCompose(answered -> answered ? first : second.get());
    }

    /**
     * Logs a failed order and completes with false; the rollout sends it again after the next reading if still needed.
     */
    private CompletableFuture<Boolean> falseOnError(RankOrder order, CompletableFuture<Boolean> call) {
        return call.exceptionally(error -> {
            logger.atInfo()
                    .addKeyValue("group", group)
                    .addKeyValue("rank", order.rank())
                    .addKeyValue("order", order.action())
                    .addKeyValue("reason", String.valueOf(error.getMessage()))
                    .log("order to rank failed");
            return false;
        });
    }

    private static <T> CompletableFuture<List<T>> allOf(List<CompletableFuture<T>> calls) {
        return CompletableFuture.allOf(calls.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> calls.stream().map(CompletableFuture::join).toList());
    }

    private void report(Map<Integer, RankCall.Reading> readings, Set<EngineAddress> triedDirectly) {
        long now = time.monotonicNanos();
        if (now - lastReportNanos < READ_INTERVAL.toNanos() * 4 / 5) {
            return;
        }
        lastReportNanos = now;
        List<RankLoad> loads = new ArrayList<>();
        Set<EngineAddress> unreachable = new HashSet<>(triedDirectly);
        boolean open = true;
        for (RankCall.Reading reading : readings.values()) {
            EngineState state = reading.state();
            if (state != null) {
                loads.add(new RankLoad(reading.engine(), state));
                unreachable.remove(reading.engine());
                open &= state.view().open();
            }
        }
        environment.reports().accept(new GroupReport(group, open, loads, unreachable));
    }
}
