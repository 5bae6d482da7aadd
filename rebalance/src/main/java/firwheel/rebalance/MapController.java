package firwheel.rebalance;

import firwheel.experts.rollout.HoldSteps;
import firwheel.experts.rollout.MapRollout;
import firwheel.experts.rollout.RankOrder;
import firwheel.experts.rollout.RankView;
import firwheel.experts.rollout.RolloutLimits;
import firwheel.mesh.AuthenticatedHttp;
import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.TimeSource;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Controls the expert map of a group. A controller runs beside every rank; the elected one reads the expert selections
 * of all ranks, plans new maps and rolls them out. The others campaign for election once they have not heard from a
 * controller for the election timeout. All methods run on one event loop.
 */
public final class MapController {
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);
    private static final Duration LOADING_INTERVAL = Duration.ofMillis(60); // about the time to load one expert
    private static final Duration HOLD_INTERVAL =
            Duration.ofMillis(5); // short, since the hold must be released before the group reaches the step
    private static final Duration ELECTION_TIMEOUT =
            Duration.ofMillis(700); // two missed readings; keeps a hold by a failed controller below two seconds
    private static final Duration ELECTION_STAGGER =
            Duration.ofMillis(50); // lets the first candidate usually win before the next one campaigns
    private static final Duration INITIAL_ELECTION_TIMEOUT =
            Duration.ofMillis(500); // a live controller discovers and reads a new agent sooner
    private static final int MAX_INCOMPLETE_READS = 8; // if calls time out, about as long as a hold may block the group
    private static final RolloutLimits ROLLOUT_LIMITS = new RolloutLimits(
            8,
            Duration.ofMillis(100), // more if calls of all ranks take long
            Duration.ofSeconds(4),
            Duration.ofMillis(600),
            Duration.ofMillis(400)); // bounds how long the group is blocked if arming takes longer than the lead
    private static final Logger logger = LoggerFactory.getLogger(MapController.class);

    private final Vertx vertx;
    private final TimeSource time;
    private final RankAgent agent;
    private final Engine engine;
    private final OrderDispatch dispatch;
    private final GroupReader reader;
    private final ControllerElection election;
    private final ControllerEnvironment environment;
    private final ReadingLog readingLog;
    private final CallTimeouts timeouts = new CallTimeouts();
    private final ReadPace readPace = new ReadPace();
    private final RolloutViews rolloutViews;
    private final MapInUse mapInUse = new MapInUse();
    private final MapVersions versions = new MapVersions();
    private final MapDisagreement disagreement = new MapDisagreement();
    private final MapFaultLog faults;
    private final HoldSteps holdSteps;
    private final Map<Integer, RankClient.Route> ranks = new TreeMap<>();
    private String group = "";
    private long term;
    private boolean takeoverComplete;
    private boolean renewingTerm;
    private boolean holdStepsSkipped;
    private @Nullable MapRollout rollout;
    private int incompleteReads;
    private long lastReportNanos;
    private long lastSelectionsNanos;
    private Duration electionTimeout = INITIAL_ELECTION_TIMEOUT;

    /** Creates a controller; {@code engine} is the engine of the local rank. */
    public MapController(
            Vertx vertx,
            TimeSource time,
            RankAgent agent,
            Engine engine,
            AuthenticatedHttp http,
            ControllerElection election,
            ControllerEnvironment environment) {
        this.vertx = vertx;
        this.time = time;
        this.agent = agent;
        this.engine = engine;
        RankClient client = new RankClient(vertx, time, agent, http, environment.engineAt());
        dispatch = new OrderDispatch(client, timeouts);
        rolloutViews = new RolloutViews(time);
        faults = new MapFaultLog(environment.metrics());
        holdSteps = agent.holdSteps();
        reader = new GroupReader(client, time, environment.knownEngines(), timeouts, holdSteps);
        this.election = election;
        this.environment = environment;
        readingLog = new ReadingLog(time, http, environment.metrics());
    }

    /** Starts the controller, which runs until the process ends. */
    public void start() {
        vertx.setTimer(ReadPace.interval(0).toMillis(), id -> tick());
    }

    private void tick() {
        long startedMillis = time.monotonicMillis();
        CompletableFuture<Void> iteration = CompletableFuture.<Void>completedFuture(null)
                .thenCompose(begun -> term > 0 && term >= agent.term() ? control() : follow());
        var unused = iteration.whenComplete((done, error) -> {
            if (error != null) {
                logger.atInfo()
                        .addKeyValue("group", group)
                        .addKeyValue("reason", String.valueOf(error.getMessage()))
                        .log("map controller iteration failed");
            }
            vertx.setTimer(nextTickDelayMillis(time.monotonicMillis() - startedMillis), id -> tick());
        });
    }

    private long nextTickDelayMillis(long iterationMillis) {
        MapRollout active = rollout;
        if (active != null) {
            return (active.mayBlockGroup() ? HOLD_INTERVAL : LOADING_INTERVAL).toMillis();
        }
        return readPace.nextPause(ranks.size(), Duration.ofMillis(iterationMillis))
                .toMillis();
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
        return election.tryBecomeController(group)
                .whenComplete((wonTerm, error) -> agent.resetElectionTimer())
                .thenAccept(wonTerm -> {
                    if (wonTerm > 0) {
                        startTerm(wonTerm);
                    }
                });
    }

    private void startTerm(long wonTerm) {
        term = wonTerm;
        agent.observeTerm(wonTerm);
        takeoverComplete = false;
        holdStepsSkipped = false;
        mapInUse.forget();
        disagreement.forget();
        versions.startTerm(wonTerm);
        MapPolicy policy = environment.policy().get();
        if (policy != null) {
            policy.reset();
        }
        environment.metrics().setControlling(true);
        Events.log(logger, EventCode.LEASE_ACQUIRED, "group", group, "term", wonTerm);
    }

    private CompletableFuture<Void> control() {
        MapRollout active = rollout;
        if (active != null) {
            return advanceRollout(active);
        }
        if (versions.exhausted() && !renewingTerm) {
            renewingTerm = true;
            var unused = campaign().whenComplete((done, error) -> renewingTerm = false);
        }
        return readAndPlan();
    }

    /** Reads all ranks and starts a rollout if one is needed. */
    private CompletableFuture<Void> readAndPlan() {
        long startedNanos = time.monotonicNanos();
        List<String> agentIps = environment.agentIps().get();
        return reader.readAll(term, agentIps, !mapInUse.isPlacementKnown())
                .thenAccept(answers -> onGroupRead(answers, agentIps.size() + 1, startedNanos));
    }

    private void onGroupRead(List<RankClient.Answer> answers, int agents, long startedNanos) {
        Map<Integer, RankCall.Reading> readings = new HashMap<>();
        int size = 0;
        for (RankClient.Answer answer : answers) {
            RankCall.Reading reading = answer.reading();
            if (reading != null
                    && reading.state() != null
                    && reading.state().group().equals(group)) {
                int rank = reading.state().view().rank();
                readings.put(rank, reading);
                ranks.put(rank, new RankClient.Route(answer.agentIp(), reading.engine()));
                size = reading.state().groupSize();
            }
        }
        report(readings, size, environment.knownEngines().get());
        ReadingLog.Reading read = new ReadingLog.Reading(group, term, agents, readings.size(), size, startedNanos);
        readingLog.record(read, evaluate(readings, size));
    }

    private ReadingLog.Outcome evaluate(Map<Integer, RankCall.Reading> readings, int size) {
        recordSelections(readings);
        List<RankView> views = GroupReadings.views(readings, size);
        if (views.isEmpty()) {
            return ReadingLog.Outcome.INCOMPLETE;
        }
        if (!GroupReadings.areOpenInSameEpoch(views)) {
            return ReadingLog.Outcome.RANKS_DISAGREE;
        }
        holdSteps.observe(views);
        if (!holdStepsSkipped) {
            holdSteps.skipPossiblyUsed(views);
            holdStepsSkipped = true;
        }
        disagreement.onRead(views);
        if (disagreement.isPresent()) {
            return repair(readings, views);
        }
        if (mapInUse.onRead(views.get(0), GroupReadings.placement(readings, size))) {
            takeoverComplete = false;
        }
        if (!mapInUse.isPlacementKnown()) {
            return ReadingLog.Outcome.PLACEMENT_UNKNOWN;
        }
        if (versions.exhausted()) {
            return ReadingLog.Outcome.VERSIONS_USED;
        }
        if (!takeoverComplete || views.stream().anyMatch(RankView::isHolding)) {
            takeoverComplete = false;
            rollout = takeOver(views, mapInUse.placement());
            return ReadingLog.Outcome.TAKEOVER;
        }
        return holdSteps.isNextNear(views) ? planMap(readings, views) : ReadingLog.Outcome.HOLD_STEPS_USED;
    }

    private MapRollout takeOver(List<RankView> views, int[][][] placement) {
        return MapRollout.takeOver(
                ROLLOUT_LIMITS, holdSteps, views, versions.next(), placement, time.monotonicMillis());
    }

    /** Brings ranks that use different maps to the same one, once that is certain and can be planned. */
    private ReadingLog.Outcome repair(Map<Integer, RankCall.Reading> readings, List<RankView> views) {
        mapInUse.forget(); // so that the next reading includes the experts that each rank holds
        MapPolicy policy = environment.policy().get();
        int[][][] held = GroupReadings.placement(readings, views.size());
        if (!disagreement.isConfirmed() || policy == null || held.length == 0) {
            return ReadingLog.Outcome.RANKS_DISAGREE;
        }
        if (versions.exhausted()) {
            return ReadingLog.Outcome.VERSIONS_USED;
        }
        int[][][] placement = policy.completed(held);
        if (views.stream().anyMatch(RankView::isArmed)) {
            rollout = takeOver(views, placement);
            return ReadingLog.Outcome.TAKEOVER;
        }
        long version = versions.next();
        faults.onMapsDiffer(group, views, version);
        rollout = MapRollout.repair(ROLLOUT_LIMITS, holdSteps, views, version, placement, time.monotonicMillis());
        return ReadingLog.Outcome.REPAIR;
    }

    /**
     * Agents report the selections since their last report only once, so these are recorded whatever else is known of
     * the group. Those of before it was formed again are the best estimate for its first map.
     */
    private void recordSelections(Map<Integer, RankCall.Reading> readings) {
        MapPolicy policy = environment.policy().get();
        long[] selections = GroupReadings.selections(readings);
        long now = time.monotonicNanos();
        if (policy != null && selections.length > 0) {
            policy.onSelections(selections, Duration.ofNanos(now - lastSelectionsNanos));
        }
        lastSelectionsNanos = now;
    }

    private ReadingLog.Outcome planMap(Map<Integer, RankCall.Reading> readings, List<RankView> views) {
        MapPolicy policy = environment.policy().get();
        if (policy == null) {
            return ReadingLog.Outcome.NO_POLICY;
        }
        double[] slowdowns = GroupReadings.slowdowns(readings, views.size());
        int[][][] current = mapInUse.placement();
        double imbalance = policy.imbalance(current, slowdowns);
        environment.metrics().setMap(mapInUse.version(), mapInUse.epoch(), imbalance);
        long planStartedMillis = time.monotonicMillis();
        int[][][] planned = policy.plan(current, slowdowns);
        if (planned == null) {
            return ReadingLog.Outcome.MAP_KEPT;
        }
        long version = versions.next();
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
                ROLLOUT_LIMITS, holdSteps, views, version, views.size() - 1, planned, current, time.monotonicMillis());
        return ReadingLog.Outcome.MAP_PLANNED;
    }

    /** Reads the ranks that decide how the rollout goes on, and sends its next orders. */
    private CompletableFuture<Void> advanceRollout(MapRollout active) {
        RankClient.Route decidingRank = ranks.get(active.decidingRank());
        // All agents must hear of the controller within the election timeout.
        return decidingRank != null && rolloutViews.isGroupReadWithin(REPORT_INTERVAL)
                ? advanceByDecidingRank(active, decidingRank)
                : advanceByGroup(active);
    }

    private CompletableFuture<Void> advanceByDecidingRank(MapRollout active, RankClient.Route decidingRank) {
        return reader.readDecidingRank(term, decidingRank, active).thenCompose(answers -> {
            RankCall.Reading reading = answers.get(0).reading();
            if (reading == null || reading.state() == null) {
                return onIncompleteRead(active);
            }
            incompleteReads = 0;
            List<RankView> views = rolloutViews.withNewer(
                    active.decidingRank(), reading.state().view());
            return sendOrders(active, active.nextOrders(views, time.monotonicMillis()));
        });
    }

    private CompletableFuture<Void> advanceByGroup(MapRollout active) {
        long startedNanos = time.monotonicNanos();
        boolean selections = selectionsDue(active);
        return reader.readDuringRollout(term, ranks.values(), active, selections)
                .thenCompose(answers -> {
                    Map<Integer, RankCall.Reading> readings = new HashMap<>();
                    for (RankClient.Answer answer : answers) {
                        RankCall.Reading reading = answer.reading();
                        if (reading != null && reading.state() != null) {
                            readings.put(reading.state().view().rank(), reading);
                        }
                    }
                    if (selections) {
                        recordSelections(readings);
                    }
                    // Engines are read directly only while a hold may block the group.
                    report(
                            readings,
                            ranks.size(),
                            active.mayBlockGroup() ? environment.knownEngines().get() : Set.of());
                    List<RankView> views = GroupReadings.views(readings, ranks.size());
                    rolloutViews.onGroupRead(views);
                    if (views.isEmpty()) {
                        readingLog.record(
                                new ReadingLog.Reading(
                                        group, term, ranks.size(), readings.size(), ranks.size(), startedNanos),
                                ReadingLog.Outcome.INCOMPLETE);
                        return onIncompleteRead(active);
                    }
                    incompleteReads = 0;
                    active.setLimits(ROLLOUT_LIMITS.withExchangeTime(timeouts.exchangeTime()));
                    return sendOrders(active, active.nextOrders(views, time.monotonicMillis()));
                });
    }

    /** Selections are read while experts are loaded, so that the next map is planned from recent demand. */
    private boolean selectionsDue(MapRollout active) {
        return active.phase() == MapRollout.Phase.PREPARING
                && time.monotonicNanos() - lastSelectionsNanos
                        >= ReadPace.interval(ranks.size()).toNanos();
    }

    private CompletableFuture<Void> onIncompleteRead(MapRollout active) {
        if (++incompleteReads >= MAX_INCOMPLETE_READS) {
            Events.log(
                    logger,
                    EventCode.MAP_ABORTED,
                    "group",
                    group,
                    "reason",
                    "ranks cannot be read",
                    "state",
                    active.toString());
            incompleteReads = 0;
            takeoverComplete = false;
            rollout = null;
        }
        return CompletableFuture.completedFuture(null);
    }

    private CompletableFuture<Void> sendOrders(MapRollout active, List<RankOrder> orders) {
        faults.onOrders(group, active);
        if (active.finished()) {
            onRolloutFinished(active);
            return CompletableFuture.completedFuture(null);
        }
        return dispatch.send(active, term, ranks, orders);
    }

    private void onRolloutFinished(MapRollout finished) {
        boolean switched = finished.phase() == MapRollout.Phase.DONE;
        if (takeoverComplete || switched) {
            environment.metrics().countRollout(switched);
            Events.log(
                    logger,
                    switched ? EventCode.MAP_COMMITTED : EventCode.MAP_ABORTED,
                    "group",
                    group,
                    "version",
                    finished.version(),
                    "loadMillis",
                    finished.loadMillis(),
                    "switchMillis",
                    finished.switchMillis(),
                    "leadMillis",
                    finished.leadMillis(),
                    "armMillis",
                    finished.armMillis(),
                    "state",
                    finished.toString());
        }
        if (switched) {
            mapInUse.onSwitch(finished);
        }
        takeoverComplete = true;
        rollout = null;
        readPace.onRolloutEnded();
    }

    private void report(Map<Integer, RankCall.Reading> readings, int size, Set<EngineAddress> calledDirectly) {
        long now = time.monotonicNanos();
        if (now - lastReportNanos < REPORT_INTERVAL.toNanos() * 4 / 5) {
            return;
        }
        lastReportNanos = now;
        environment.reports().accept(GroupReport.of(group, size, readings.values(), calledDirectly));
    }
}
