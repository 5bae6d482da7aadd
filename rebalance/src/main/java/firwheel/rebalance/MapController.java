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
 * Runs beside every rank; the one that is elected reads the choices of all ranks, plans, and rolls new maps out. One that
 * follows stands for election once it has heard no controller for a while. All methods run on one event loop.
 */
public final class MapController {
    /**
     * What the controller works with.
     *
     * @param agentIps returns the hosts of all living agents but this one
     * @param engineAt returns the engine at an address, for ranks whose agent does not answer
     * @param policies returns the policy for a group, once its figures are known
     * @param reports takes what each reading of the group found
     * @param engines returns the engines that the last controller reported, for ranks whose agent does not answer
     * @param metrics counts what the controller does
     */
    public record Environment(
            Supplier<List<String>> agentIps,
            Function<EngineAddress, Engine> engineAt,
            Supplier<@Nullable MapPolicy> policies,
            Consumer<GroupReport> reports,
            Supplier<Set<EngineAddress>> engines,
            MapMetrics metrics) {}

    /** State of a rank's engine. */
    public record RankLoad(EngineAddress engine, EngineState state) {}

    /**
     * What a reading of a group found.
     *
     * @param group name of the group
     * @param open whether all ranks that were read say that the group computes
     * @param loads states of the ranks that were read
     * @param unreachable engines that neither their agent nor a direct call could read
     */
    public record GroupReport(String group, boolean open, List<RankLoad> loads, Set<EngineAddress> unreachable) {}

    private static final Duration READ_INTERVAL =
            Duration.ofMillis(250); // a quarter of the time in which a new map is loaded and in force
    private static final Duration LOADING_INTERVAL = Duration.ofMillis(60); // an expert takes about as long to load
    private static final Duration HOLD_INTERVAL = Duration.ofMillis(5); // the group must not wait for the held pass
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(250); // hosts are a few ms apart
    private static final Duration HOLDING_CALL_TIMEOUT =
            Duration.ofMillis(80); // three lost orders in a row fit between a hold and its pass
    private static final Duration ELECTION_SILENCE =
            Duration.ofMillis(700); // a held pass must not last two seconds; two readings missed
    private static final Duration ELECTION_STAGGER =
            Duration.ofMillis(50); // the first candidate mostly wins before the next
    private static final Duration FIRST_ELECTION =
            Duration.ofMillis(500); // a living controller hears of a new agent and reads it sooner
    private static final long VERSIONS_PER_TERM = 1_000_000; // two a second last for days
    private static final int MAX_FAILED_READINGS = 8; // about as long as a group may wait for a held pass
    private static final MapRollout.Limits LIMITS = new MapRollout.Limits(
            8,
            Duration.ofSeconds(4),
            Duration.ofMillis(600),
            Duration.ofMillis(400)); // arming ends before the held pass
    private static final Logger logger = LoggerFactory.getLogger(MapController.class);

    private static final String NO_AGENT = "silent"; // stands for the host of an agent that does not answer
    private static final Duration PASS_BY = Duration.ofSeconds(2); // an agent that failed is not asked again meanwhile

    private final Vertx vertx;
    private final TimeSource time;
    private final RankAgent agent;
    private final Engine engine;
    private final AuthenticatedHttp http;
    private final ControllerElection election;
    private final Environment environment;
    private final Map<Integer, Rank> ranks = new TreeMap<>();
    private String group = "";
    private long term;
    private long epoch = -1;
    private boolean cleared;
    private long usedVersions;
    private Map<Integer, long[]> lastCounts = Map.of();
    private @Nullable MapRollout rollout;
    private int[][][] present = {};
    private final Map<String, Long> silentSinceNanos = new HashMap<>();
    private int failedReadings;
    private long reportedNanos;
    private Duration patience = FIRST_ELECTION;
    private boolean placementKnown;
    private long presentVersion = RankView.NONE;

    /** A rank of the group and how to reach it. */
    private record Rank(String agentIp, EngineAddress engine) {}

    /** A reading and the host that it came from. */
    private record Answer(String agentIp, RankCall.@Nullable Reading reading) {}

    /** Creates a controller that is not started; {@code engine} is the one on this host. */
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
    }

    /** Starts following or controlling; it never ends. */
    public void start() {
        vertx.setTimer(READ_INTERVAL.toMillis(), id -> tick());
    }

    private void tick() {
        CompletableFuture<Void> round = CompletableFuture.<Void>completedFuture(null)
                .thenCompose(begun -> term > 0 && term >= agent.term() ? control() : follow());
        var unused = round.whenComplete((done, error) -> {
            if (error != null) {
                logger.atInfo()
                        .addKeyValue("group", group)
                        .addKeyValue("reason", String.valueOf(error.getMessage()))
                        .log("a round of the map controller failed");
            }
            MapRollout open = rollout;
            Duration pause = open == null ? READ_INTERVAL : open.mayHold() ? HOLD_INTERVAL : LOADING_INTERVAL;
            vertx.setTimer(pause.toMillis(), id -> tick());
        });
    }

    /** Waits for a controller to be heard, and stands for election when none is. */
    private CompletableFuture<Void> follow() {
        if (term > 0) {
            environment.metrics().setControlling(false);
            Events.log(logger, EventCode.LEASE_RELEASED, "group", group, "term", term, "newerTerm", agent.term());
            term = 0;
            rollout = null;
            agent.resetSilence();
        }
        if (agent.silence().compareTo(patience) < 0) {
            return CompletableFuture.completedFuture(null);
        }
        return engine.state().thenCompose(state -> {
            group = state.group();
            Duration silence = agent.heardController() ? ELECTION_SILENCE : FIRST_ELECTION;
            Duration wanted =
                    silence.plus(ELECTION_STAGGER.multipliedBy(state.view().rank()));
            if (group.isEmpty() || !wanted.equals(patience)) {
                patience = wanted;
                return CompletableFuture.<Void>completedFuture(null);
            }
            return stand();
        });
    }

    private CompletableFuture<Void> stand() {
        return election.tryBecomeController(group).thenAccept(won -> {
            agent.resetSilence();
            if (won > 0) {
                term = won;
                agent.learnTerm(won);
                cleared = false;
                epoch = -1;
                usedVersions = 0;
                lastCounts = Map.of();
                MapPolicy policy = environment.policies().get();
                if (policy != null) {
                    policy.reset();
                }
                environment.metrics().setControlling(true);
                Events.log(logger, EventCode.LEASE_ACQUIRED, "group", group, "term", won);
            }
        });
    }

    private CompletableFuture<Void> control() {
        MapRollout open = rollout;
        return open == null ? observe() : drive(open);
    }

    /** Reads all ranks and starts a rollout where one is due. */
    private CompletableFuture<Void> observe() {
        List<CompletableFuture<Answer>> calls = new ArrayList<>();
        RankCall.Read read = new RankCall.Read(term, true, !placementKnown);
        for (String ip : environment.agentIps().get()) {
            calls.add(readAgent(ip, read, CALL_TIMEOUT));
        }
        calls.add(agent.read(read).thenApply(reading -> new Answer("", reading)));
        return all(calls).thenCompose(this::withSilentAgents).thenAccept(this::onObserved);
    }

    /** Adds readings of the engines whose agent did not answer. */
    private CompletableFuture<List<Answer>> withSilentAgents(List<Answer> answers) {
        Set<EngineAddress> missing = new HashSet<>(environment.engines().get());
        answers.forEach(answer -> {
            RankCall.Reading reading = answer.reading();
            if (reading != null) {
                missing.remove(reading.engine());
            }
        });
        List<CompletableFuture<Answer>> calls = new ArrayList<>();
        answers.forEach(answer -> calls.add(CompletableFuture.completedFuture(answer)));
        missing.forEach(address -> calls.add(orAbsent(address, readEngine(address))));
        return all(calls);
    }

    private CompletableFuture<Answer> readEngine(EngineAddress address) {
        Engine silent = environment.engineAt().apply(address);
        return silent.state()
                .thenCombine(
                        silent.placedExperts(),
                        (state, placed) ->
                                new Answer(NO_AGENT, new RankCall.Reading(term, address, state, null, placed)));
    }

    private void onObserved(List<Answer> answers) {
        Map<Integer, RankCall.Reading> readings = new HashMap<>();
        int size = 0;
        for (Answer answer : answers) {
            RankCall.Reading reading = answer.reading();
            if (reading != null
                    && reading.state() != null
                    && reading.state().group().equals(group)) {
                int rank = reading.state().view().rank();
                readings.put(rank, reading);
                ranks.put(rank, new Rank(answer.agentIp(), reading.engine()));
                size = reading.state().groupSize();
            }
        }
        report(readings, environment.engines().get());
        List<RankView> views = GroupReadings.views(readings, size);
        if (views.isEmpty() || !GroupReadings.sameFormation(views)) {
            return;
        }
        long known = presentVersion;
        presentVersion = views.get(0).mapVersion();
        if (views.get(0).epoch() != epoch || presentVersion != known) {
            placementKnown = false;
        }
        int[][][] placed = GroupReadings.placement(readings, size);
        if (placed.length > 0) {
            present = placed;
            placementKnown = true;
        }
        if (views.get(0).epoch() != epoch) {
            epoch = views.get(0).epoch();
            lastCounts = Map.of();
            cleared = false;
        }
        if (!placementKnown) {
            return;
        }
        if (!cleared || views.stream().anyMatch(RankView::isHolding)) {
            cleared = false;
            rollout = MapRollout.takeOver(LIMITS, views, nextVersion(), present, time.monotonicMillis());
            return;
        }
        considerMap(readings, views);
    }

    private void considerMap(Map<Integer, RankCall.Reading> readings, List<RankView> views) {
        MapPolicy policy = environment.policies().get();
        Map<Integer, long[]> counts = GroupReadings.counts(readings);
        long[] choices = GroupReadings.increase(lastCounts, counts);
        lastCounts = counts;
        if (policy == null) {
            return;
        }
        // The demand from before a group was formed anew is the best guess for its first map.
        if (choices.length > 0) {
            policy.onChoices(choices);
        }
        double[] slowdowns = GroupReadings.slowdowns(readings, views.size());
        double imbalance = policy.imbalance(present, slowdowns);
        environment.metrics().setMap(presentVersion, epoch, imbalance);
        int[][][] planned = policy.plan(present, slowdowns);
        if (planned != null) {
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
                    policy.imbalance(planned, slowdowns));
            rollout = MapRollout.begin(
                    LIMITS, views, version, views.size() - 1, planned, present, time.monotonicMillis());
        }
    }

    /** Versions of a later term are above all of an earlier one; a rollout uses two. */
    private long nextVersion() {
        usedVersions += 2;
        return term * VERSIONS_PER_TERM + usedVersions;
    }

    /** Reads all ranks and gives the orders that the rollout asks for. */
    private CompletableFuture<Void> drive(MapRollout open) {
        List<CompletableFuture<Answer>> calls = new ArrayList<>();
        RankCall.Read read = new RankCall.Read(term, false, false);
        ranks.values().forEach(rank -> calls.add(readRank(rank, read, open)));
        return all(calls).thenCompose(answers -> {
            Map<Integer, RankCall.Reading> readings = new HashMap<>();
            for (Answer answer : answers) {
                RankCall.Reading reading = answer.reading();
                if (reading != null && reading.state() != null) {
                    readings.put(reading.state().view().rank(), reading);
                }
            }
            // Only while a pass may be held, engines are also read past their agents.
            report(readings, open.mayHold() ? environment.engines().get() : Set.of());
            List<RankView> views = GroupReadings.views(readings, ranks.size());
            if (views.isEmpty()) {
                return onUnreadable(open);
            }
            failedReadings = 0;
            return give(open, open.next(views, time.monotonicMillis()));
        });
    }

    private CompletableFuture<Void> onUnreadable(MapRollout open) {
        if (++failedReadings >= MAX_FAILED_READINGS) {
            Events.log(logger, EventCode.MAP_ABORTED, "group", group, "reason", "ranks cannot be read", "state", open);
            failedReadings = 0;
            cleared = false;
            rollout = null;
        }
        return CompletableFuture.completedFuture(null);
    }

    private CompletableFuture<Void> give(MapRollout open, List<RankOrder> orders) {
        if (open.finished()) {
            boolean switched = open.phase() == MapRollout.Phase.DONE;
            if (cleared || switched) {
                environment.metrics().countRollout(switched);
                Events.log(
                        logger,
                        switched ? EventCode.MAP_COMMITTED : EventCode.MAP_ABORTED,
                        "group",
                        group,
                        "version",
                        open.version(),
                        "state",
                        open);
            }
            cleared = true;
            rollout = null;
            return CompletableFuture.completedFuture(null);
        }
        List<CompletableFuture<Boolean>> calls = new ArrayList<>();
        orders.forEach(order -> calls.add(giveOrder(order)));
        return all(calls).thenApply(done -> null);
    }

    private CompletableFuture<Boolean> giveOrder(RankOrder order) {
        Rank rank = ranks.get(order.rank());
        if (rank == null) {
            return CompletableFuture.completedFuture(false);
        }
        if (rank.agentIp().isEmpty()) {
            return bounded(order, agent.order(new RankCall.Order(term, order)).thenApply(RankCall.OrderReply::taken));
        }
        MapRollout open = rollout;
        boolean closes = order.action() != RankOrder.Action.ARM && order.action() != RankOrder.Action.HOLD;
        // Only what ends a rollout may pass by an agent, which would have refused it from an earlier controller.
        boolean mayPassBy = closes && open != null && open.mayHold();
        Supplier<CompletableFuture<Boolean>> direct =
                () -> environment.engineAt().apply(rank.engine()).submit(order);
        if (mayPassBy && isSilent(rank)) {
            return bounded(order, direct.get());
        }
        CompletableFuture<Boolean> byAgent = http.call(
                        rank.agentIp(),
                        RankCall.ORDER_PATH,
                        RankCall.encode(new RankCall.Order(term, order)),
                        open == null ? CALL_TIMEOUT : callTimeout(open))
                .thenApply(reply -> onOrderReply(RankCall.decode(reply, RankCall.OrderReply.class)));
        return bounded(order, mayPassBy ? orElse(byAgent, direct) : byAgent);
    }

    private boolean onOrderReply(RankCall.OrderReply reply) {
        agent.learnTerm(reply.term());
        return reply.taken();
    }

    private CompletableFuture<Answer> readRank(Rank rank, RankCall.Read read, MapRollout open) {
        if (rank.agentIp().isEmpty()) {
            return orAbsent(rank.engine(), agent.read(read).thenApply(reading -> new Answer("", reading)));
        }
        if (open.mayHold() && isSilent(rank)) {
            return readDirectly(rank);
        }
        CompletableFuture<Answer> byAgent = readAgent(rank.agentIp(), read, callTimeout(open));
        if (!open.mayHold()) {
            return byAgent;
        }
        return byAgent.thenCompose(
                answer -> answer.reading() != null ? CompletableFuture.completedFuture(answer) : readDirectly(rank));
    }

    private CompletableFuture<Answer> readDirectly(Rank rank) {
        CompletableFuture<EngineState> state =
                environment.engineAt().apply(rank.engine()).state();
        return orAbsent(
                rank.engine(),
                state.thenApply(read ->
                        new Answer(rank.agentIp(), new RankCall.Reading(term, rank.engine(), read, null, null))));
    }

    private boolean isSilent(Rank rank) {
        Long failedNanos = silentSinceNanos.get(rank.agentIp());
        boolean lately = failedNanos != null && time.monotonicNanos() - failedNanos < PASS_BY.toNanos();
        return lately || rank.agentIp().equals(NO_AGENT);
    }

    private static Duration callTimeout(MapRollout open) {
        return open.mayHold() ? HOLDING_CALL_TIMEOUT : CALL_TIMEOUT;
    }

    private CompletableFuture<Answer> readAgent(String ip, RankCall.Read read, Duration timeout) {
        return http.call(ip, RankCall.READ_PATH, RankCall.encode(read), timeout)
                .thenApply(reply -> {
                    RankCall.Reading reading = RankCall.decode(reply, RankCall.Reading.class);
                    agent.learnTerm(reading.term());
                    return new Answer(ip, reading);
                })
                .exceptionally(error -> {
                    logger.atInfo()
                            .addKeyValue("agent", ip)
                            .addKeyValue("reason", String.valueOf(error.getMessage()))
                            .log("the agent of a rank cannot be read");
                    silentSinceNanos.put(ip, time.monotonicNanos());
                    return new Answer(ip, null);
                });
    }

    private CompletableFuture<Answer> orAbsent(EngineAddress engine, CompletableFuture<Answer> answer) {
        return answer.exceptionally(error -> {
            logger.atInfo()
                    .addKeyValue("group", group)
                    .addKeyValue("engine", engine.ip() + ":" + engine.port())
                    .addKeyValue("reason", String.valueOf(error.getMessage()))
                    .log("the engine of a rank cannot be read");
            return new Answer("", null);
        });
    }

    private static CompletableFuture<Boolean> orElse(
            CompletableFuture<Boolean> first, Supplier<CompletableFuture<Boolean>> second) {
        return first.handle((taken, error) -> error == null).thenCompose(answered -> answered ? first : second.get());
    }

    /** An order that gets no answer is given again after the next reading. */
    private CompletableFuture<Boolean> bounded(RankOrder order, CompletableFuture<Boolean> call) {
        return call.exceptionally(error -> {
            logger.atInfo()
                    .addKeyValue("group", group)
                    .addKeyValue("rank", order.rank())
                    .addKeyValue("order", order.action())
                    .addKeyValue("reason", String.valueOf(error.getMessage()))
                    .log("an order got no answer");
            return false;
        });
    }

    private static <T> CompletableFuture<List<T>> all(List<CompletableFuture<T>> calls) {
        return CompletableFuture.allOf(calls.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> calls.stream().map(CompletableFuture::join).toList());
    }

    private void report(Map<Integer, RankCall.Reading> readings, Set<EngineAddress> triedDirectly) {
        long now = time.monotonicNanos();
        if (now - reportedNanos < READ_INTERVAL.toNanos() * 4 / 5) {
            return;
        }
        reportedNanos = now;
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
