package firwheel.rebalance;

import firwheel.mesh.AuthenticatedHttp;
import firwheel.model.TimeSource;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * The process beside one rank: reads its engine, where that is cheap, and gives it the orders of the controller with the
 * latest term. All methods run on one event loop.
 */
public final class RankAgent {
    private final Engine engine;
    private final EngineAddress address;
    private final TimeSource time;
    private long term;
    private long heardNanos;
    private boolean heard;

    /** Creates an agent for the engine at {@code address}. */
    public RankAgent(Engine engine, EngineAddress address, TimeSource time) {
        this.engine = engine;
        this.address = address;
        this.time = time;
        heardNanos = time.monotonicNanos();
    }

    /** Serves the controller. */
    public void registerHandlers(AuthenticatedHttp http) {
        http.registerHandler(RankCall.READ_PATH, content -> read(RankCall.decode(content, RankCall.Read.class))
                .thenApply(RankCall::encode));
        http.registerHandler(RankCall.ORDER_PATH, content -> order(RankCall.decode(content, RankCall.Order.class))
                .thenApply(RankCall::encode));
    }

    /** Returns the latest term that this agent knows. */
    long term() {
        return term;
    }

    /** Takes a term that a controller has won. */
    void learnTerm(long known) {
        term = Math.max(term, known);
    }

    /** Returns how long ago the controller was heard. */
    Duration silence() {
        return Duration.ofNanos(time.monotonicNanos() - heardNanos);
    }

    /** Returns whether a controller was heard since the start. */
    boolean heardController() {
        return heard;
    }

    /** Starts to wait anew, for instance after a lost election. */
    void resetSilence() {
        heardNanos = time.monotonicNanos();
    }

    CompletableFuture<RankCall.Reading> read(RankCall.Read call) {
        if (!accepts(call.term())) {
            return CompletableFuture.completedFuture(new RankCall.Reading(term, address, null, null, null));
        }
        CompletableFuture<long @Nullable []> counts =
                call.counts() ? nullable(engine.expertCounts()) : CompletableFuture.completedFuture(null);
        CompletableFuture<int @Nullable [][]> placed =
                call.placed() ? nullable(engine.placedExperts()) : CompletableFuture.completedFuture(null);
        return counts.thenCombine(placed, (chosen, held) -> new RankCall.Reading(term, address, null, chosen, held))
                .thenCombine(
                        engine.state(),
                        (reading, state) ->
                                new RankCall.Reading(term, address, state, reading.counts(), reading.placed()));
    }

    CompletableFuture<RankCall.OrderReply> order(RankCall.Order call) {
        if (!accepts(call.term())) {
            return CompletableFuture.completedFuture(new RankCall.OrderReply(term, false));
        }
        return engine.submit(call.order()).thenApply(taken -> new RankCall.OrderReply(term, taken));
    }

    private boolean accepts(long offered) {
        if (offered < term) {
            return false;
        }
        term = offered;
        heard = true;
        heardNanos = time.monotonicNanos();
        return true;
    }

    @SuppressWarnings("NullAway") // widens the type to one that may also be null
    private static <T> CompletableFuture<@Nullable T> nullable(CompletableFuture<T> future) {
        return future.thenApply(value -> value);
    }
}
