package firwheel.rebalance;

import firwheel.experts.rollout.HoldSteps;
import firwheel.experts.rollout.RankOrder;
import firwheel.experts.rollout.RankView;
import firwheel.mesh.AuthenticatedHttp;
import firwheel.model.TimeSource;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Agent on the host of a rank. Reads its engine locally, which is cheap, and forwards orders to it, but only from the
 * controller with the latest term. All methods run on one event loop.
 */
public final class RankAgent {
    private static final Duration MAX_SELECTIONS_AGE =
            Duration.ofSeconds(30); // longer than an outage of a zone; nothing is selected while a group is down

    private final Engine engine;
    private final EngineAddress address;
    private final TimeSource time;
    private final HoldSteps holdSteps = new HoldSteps();
    private @Nullable PlacementRelay relay;
    private long term;
    private long controllerHeardNanos;
    private boolean controllerHeard;
    private long[] lastCounts = {};
    private long lastCountsNanos;

    /** Creates an agent for the engine at {@code address}. */
    public RankAgent(Engine engine, EngineAddress address, TimeSource time) {
        this.engine = engine;
        this.address = address;
        this.time = time;
        controllerHeardNanos = time.monotonicNanos();
    }

    /** Registers the handlers of the requests of the controller. */
    public void registerHandlers(Vertx vertx, AuthenticatedHttp http) {
        relay = new PlacementRelay(vertx, http);
        http.registerHandler(RankCall.READ_PATH, content -> read(RankCall.decode(content, RankCall.Read.class))
                .thenApply(RankCall::encode));
        http.registerHandler(
                RankCall.ORDER_PATH, content -> forwardOrder(RankCall.decode(content, RankCall.Order.class))
                        .thenApply(RankCall::encode));
    }

    /** Returns the IP address of this agent, which is on the host of its engine. */
    String ip() {
        return address.ip();
    }

    /** Lets other agents fetch a placement from this one. */
    void offerPlacement(long version, byte[] packed) {
        PlacementRelay usedRelay = relay;
        if (usedRelay != null) {
            usedRelay.offer(version, packed);
        }
    }

    /** Returns the steps of holds that this agent and the controllers it heard of know. */
    HoldSteps holdSteps() {
        return holdSteps;
    }

    /** Returns the latest known term. */
    long term() {
        return term;
    }

    /** Records the term of an elected controller; earlier terms are refused from then on. */
    void observeTerm(long newTerm) {
        term = Math.max(term, newTerm);
    }

    /** Returns the time since the last request of a controller or the last reset. */
    Duration timeSinceController() {
        return Duration.ofNanos(time.monotonicNanos() - controllerHeardNanos);
    }

    /** Returns whether a controller has sent a request since the start. */
    boolean heardController() {
        return controllerHeard;
    }

    /** Restarts the election timeout, for example after a lost election. */
    void resetElectionTimer() {
        controllerHeardNanos = time.monotonicNanos();
    }

    CompletableFuture<RankCall.Reading> read(RankCall.Read call) {
        if (!accepts(call.term())) {
            return CompletableFuture.completedFuture(
                    new RankCall.Reading(term, address, null, null, null, holdSteps.known()));
        }
        HoldSteps.Known offered = call.holdSteps();
        if (offered != null) {
            holdSteps.merge(offered);
        }
        CompletableFuture<@Nullable SelectionDigest> selections = call.selections()
                ? nullable(engine.expertCounts()).thenApply(this::selectionsSinceLastReading)
                : CompletableFuture.completedFuture(null);
        CompletableFuture<int @Nullable [][]> placed =
                call.placed() ? nullable(engine.placedExperts()) : CompletableFuture.completedFuture(null);
        return selections
                .thenCombine(
                        placed, (selected, held) -> new RankCall.Reading(term, address, null, selected, held, null))
                .thenCombine(
                        engine.state(),
                        (reading, state) -> new RankCall.Reading(
                                term, address, state, reading.selections(), reading.placed(), holdSteps.known()));
    }

    /** Returns null if there is no recent earlier reading to compare with. */
    private @Nullable SelectionDigest selectionsSinceLastReading(long @Nullable [] counts) {
        if (counts == null) {
            return null;
        }
        long[] earlier = lastCounts;
        long ageNanos = time.monotonicNanos() - lastCountsNanos;
        lastCounts = counts;
        lastCountsNanos = time.monotonicNanos();
        return earlier.length == counts.length && ageNanos <= MAX_SELECTIONS_AGE.toNanos()
                ? SelectionDigest.ofIncrease(earlier, counts)
                : null;
    }

    CompletableFuture<RankCall.OrderReply> forwardOrder(RankCall.Order call) {
        if (!accepts(call.term())) {
            return CompletableFuture.completedFuture(new RankCall.OrderReply(term, false));
        }
        if (call.order().step() != RankView.NONE) {
            holdSteps.merge(
                    new HoldSteps.Known(call.order().epoch(), call.order().step()));
        }
        return placement(call)
                .thenCompose(packed -> engine.submit(call.unpack(packed)))
                .thenApply(taken -> new RankCall.OrderReply(term, taken));
    }

    private CompletableFuture<byte[]> placement(RankCall.Order call) {
        PlacementRelay usedRelay = relay;
        String source = call.placementFrom();
        if (usedRelay == null || call.order().action() != RankOrder.Action.PREPARE) {
            return CompletableFuture.completedFuture(call.packedPlacement());
        }
        if (source != null) {
            return usedRelay.fetch(source, call.order().version());
        }
        usedRelay.offer(call.order().version(), call.packedPlacement());
        return CompletableFuture.completedFuture(call.packedPlacement());
    }

    private boolean accepts(long offeredTerm) {
        if (offeredTerm < term) {
            return false;
        }
        term = offeredTerm;
        controllerHeard = true;
        controllerHeardNanos = time.monotonicNanos();
        return true;
    }

    @SuppressWarnings("NullAway") // converts to a nullable element type
    private static <T> CompletableFuture<@Nullable T> nullable(CompletableFuture<T> future) {
        return future.thenApply(value -> value);
    }
}
