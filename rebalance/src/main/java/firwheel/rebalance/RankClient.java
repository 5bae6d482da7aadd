package firwheel.rebalance;

import firwheel.experts.rollout.RankOrder;
import firwheel.mesh.AuthenticatedHttp;
import firwheel.model.TimeSource;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads ranks and sends orders to them, through the agent of each rank or, where that is allowed and the agent does not
 * respond, directly to its engine. Failures are logged and reported as missing readings or refused orders.
 */
final class RankClient {
    private static final String NO_AGENT_IP =
            "silent"; // placeholder for the IP address of an agent that does not respond
    private static final Duration AGENT_BYPASS_TIME =
            Duration.ofSeconds(2); // an agent that failed is bypassed for this long
    private static final Duration UNRESPONSIVE_AGENT_WAIT =
            Duration.ofMillis(100); // many round trips; with a direct reading less than the election timeout
    private static final Logger logger = LoggerFactory.getLogger(RankClient.class);

    private final Vertx vertx;
    private final TimeSource time;
    private final RankAgent localAgent;
    private final AuthenticatedHttp http;
    private final Function<EngineAddress, Engine> engineAt;
    private final Map<String, Long> agentFailedNanos = new HashMap<>();

    /** Agent and engine of a rank. An empty {@code agentIp} is the local agent. */
    record Route(String agentIp, EngineAddress engine) {
        boolean isLocal() {
            return agentIp.isEmpty();
        }
    }

    /** Reading of a rank, null if it failed, and the IP address of its agent; an empty one is the local agent. */
    record Answer(String agentIp, RankCall.@Nullable Reading reading) {}

    /**
     * How to call a rank.
     *
     * @param timeout maximum time without a reply
     * @param mayBypassAgent whether the engine may be called directly if the agent does not respond
     */
    record CallOptions(Duration timeout, boolean mayBypassAgent) {}

    RankClient(
            Vertx vertx,
            TimeSource time,
            RankAgent localAgent,
            AuthenticatedHttp http,
            Function<EngineAddress, Engine> engineAt) {
        this.vertx = vertx;
        this.time = time;
        this.localAgent = localAgent;
        this.http = http;
        this.engineAt = engineAt;
    }

    /** Returns the IP address of the local agent. */
    String localIp() {
        return localAgent.ip();
    }

    /** Lets the agents of other ranks fetch the placement of an order from the local agent. */
    void offerPlacement(RankOrder order) {
        localAgent.offerPlacement(order.version(), PackedPlacement.pack(order.placement()));
    }

    /** Reads the local rank. */
    CompletableFuture<Answer> readLocal(RankCall.Read read) {
        return localAgent.read(read).thenApply(reading -> new Answer("", reading));
    }

    /** Reads a rank through its agent. An agent that failed recently is called too, but not waited for as long. */
    CompletableFuture<Answer> readAgent(String ip, RankCall.Read read, Duration timeout) {
        boolean unresponsive = isAgentUnresponsive(ip);
        CompletableFuture<Answer> answer = callAgent(ip, read, timeout);
        if (unresponsive) {
            long timer =
                    vertx.setTimer(UNRESPONSIVE_AGENT_WAIT.toMillis(), id -> answer.complete(new Answer(ip, null)));
            var unused = answer.whenComplete((done, error) -> vertx.cancelTimer(timer));
        }
        return answer;
    }

    private CompletableFuture<Answer> callAgent(String ip, RankCall.Read read, Duration timeout) {
        return http.call(ip, RankCall.READ_PATH, RankCall.encode(read), timeout)
                .thenApply(reply -> {
                    RankCall.Reading reading = RankCall.decode(reply, RankCall.Reading.class);
                    localAgent.observeTerm(reading.term());
                    agentFailedNanos.remove(ip);
                    return new Answer(ip, reading);
                })
                .exceptionally(error -> {
                    logger.atInfo()
                            .addKeyValue("agent", ip)
                            .addKeyValue("reason", String.valueOf(error.getMessage()))
                            .log("failed to read rank through its agent");
                    agentFailedNanos.put(ip, time.monotonicNanos());
                    return new Answer(ip, null);
                });
    }

    /** Reads the state and placed experts of a rank directly from its engine. */
    CompletableFuture<Answer> readEngine(EngineAddress address, long term) {
        Engine client = engineAt.apply(address);
        return emptyOnError(
                address,
                client.state()
                        .thenCombine(
                                client.placedExperts(),
                                (state, placed) -> new Answer(
                                        NO_AGENT_IP, new RankCall.Reading(term, address, state, null, placed, null))));
    }

    /** Reads the state of a rank. */
    CompletableFuture<Answer> readRank(Route rank, RankCall.Read read, CallOptions options) {
        if (rank.isLocal()) {
            return emptyOnError(rank.engine(), readLocal(read));
        }
        if (options.mayBypassAgent() && isAgentUnresponsive(rank.agentIp())) {
            return readStateDirectly(rank, read.term());
        }
        CompletableFuture<Answer> viaAgent = readAgent(rank.agentIp(), read, options.timeout());
        if (!options.mayBypassAgent()) {
            return viaAgent;
        }
        return viaAgent.thenCompose(answer -> answer.reading() != null
                ? CompletableFuture.completedFuture(answer)
                : readStateDirectly(rank, read.term()));
    }

    /** Sends an order whose placement the agent of the rank fetches from another one. */
    CompletableFuture<Boolean> sendOrderWithPlacementFrom(
            String agentIp, Route rank, long term, RankOrder order, CallOptions options) {
        return falseOnError(order, callAgent(rank, RankCall.Order.withPlacementFrom(term, order, agentIp), options));
    }

    /** Sends an order to a rank; completes with whether the engine accepted it. */
    CompletableFuture<Boolean> sendOrder(Route rank, long term, RankOrder order, CallOptions options) {
        RankCall.Order call = RankCall.Order.of(term, order);
        if (rank.isLocal()) {
            return falseOnError(order, localAgent.forwardOrder(call).thenApply(RankCall.OrderReply::taken));
        }
        Supplier<CompletableFuture<Boolean>> sendDirectly =
                () -> engineAt.apply(rank.engine()).submit(order);
        if (options.mayBypassAgent() && isAgentUnresponsive(rank.agentIp())) {
            return falseOnError(order, sendDirectly.get());
        }
        CompletableFuture<Boolean> viaAgent = callAgent(rank, call, options);
        return falseOnError(order, options.mayBypassAgent() ? orElseTry(viaAgent, sendDirectly) : viaAgent);
    }

    private CompletableFuture<Boolean> callAgent(Route rank, RankCall.Order call, CallOptions options) {
        return http.call(rank.agentIp(), RankCall.ORDER_PATH, RankCall.encode(call), options.timeout())
                .thenApply(reply -> onOrderReply(RankCall.decode(reply, RankCall.OrderReply.class)));
    }

    private boolean onOrderReply(RankCall.OrderReply reply) {
        localAgent.observeTerm(reply.term());
        return reply.taken();
    }

    private CompletableFuture<Answer> readStateDirectly(Route rank, long term) {
        return emptyOnError(
                rank.engine(),
                engineAt.apply(rank.engine())
                        .state()
                        .thenApply(state -> new Answer(
                                rank.agentIp(), new RankCall.Reading(term, rank.engine(), state, null, null, null))));
    }

    /** Returns whether the last reading through an agent failed, not long ago. */
    boolean isAgentUnresponsive(String agentIp) {
        Long failedNanos = agentFailedNanos.get(agentIp);
        boolean failedRecently =
                failedNanos != null && time.monotonicNanos() - failedNanos < AGENT_BYPASS_TIME.toNanos();
        return failedRecently || agentIp.equals(NO_AGENT_IP);
    }

    private static CompletableFuture<Answer> emptyOnError(EngineAddress engine, CompletableFuture<Answer> answer) {
        return answer.exceptionally(error -> {
            logger.atInfo()
                    .addKeyValue("engine", engine.ip() + ":" + engine.port())
                    .addKeyValue("reason", String.valueOf(error.getMessage()))
                    .log("failed to read engine of rank");
            return new Answer("", null);
        });
    }

    private static CompletableFuture<Boolean> orElseTry(
            CompletableFuture<Boolean> first, Supplier<CompletableFuture<Boolean>> second) {
        return first.handle((taken, error) -> error == null).thenCompose(answered -> answered ? first : second.get());
    }

    private static CompletableFuture<Boolean> falseOnError(RankOrder order, CompletableFuture<Boolean> call) {
        return call.exceptionally(error -> {
            logger.atInfo()
                    .addKeyValue("rank", order.rank())
                    .addKeyValue("order", order.action())
                    .addKeyValue("reason", String.valueOf(error.getMessage()))
                    .log("order to rank failed");
            return false;
        });
    }
}
