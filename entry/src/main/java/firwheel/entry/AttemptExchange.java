package firwheel.entry;

import firwheel.admission.FenceOutcome;
import firwheel.admission.ResponseHead;
import firwheel.admission.StreamAssembler;
import firwheel.admission.StreamChunk;
import firwheel.admission.StreamEnd;
import firwheel.admission.StreamIntegrity;
import firwheel.model.AttemptId;
import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.FaultBoundary;
import firwheel.model.RankAddress;
import firwheel.model.RankKey;
import firwheel.model.ResultCode;
import firwheel.wire.AttemptMessage;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchange of messages between the entry and the agent about one attempt. It can move to a new link when a link is lost.
 * Used on the entry's event loop only.
 */
final class AttemptExchange implements AgentLink.Listener {
    private static final Logger logger = LoggerFactory.getLogger(AttemptExchange.class);
    private static final int CREDIT_CHUNKS = 64;
    private static final long ADMIT_WINDOW_MILLIS = 5_000;
    private static final long DEADLINE_MARGIN_MILLIS = 100;
    private static final long FENCE_TIMEOUT_MILLIS = 1_000;
    private static final long FENCE_RETRY_DELAY_MILLIS = 250;

    /** Receives the events of an attempt. */
    interface AttemptListener {
        /** Returns the boundary of the request, within which callbacks of the exchange run. */
        FaultBoundary boundary();

        void onRefused(AttemptExchange exchange, ResultCode code, Duration retryAfter);

        void onHead(ResponseHead head);

        void onChunk(AttemptExchange exchange, StreamChunk chunk);

        void onEnd(AttemptExchange exchange, StreamIntegrity integrity);

        void onFailed(AttemptExchange exchange, ResultCode code);

        void onFenceOutcome(AttemptExchange exchange, FenceOutcome outcome);

        void onFenceTimeout(AttemptExchange exchange);

        void onDisconnected(AttemptExchange exchange);
    }

    private final AttemptId id;
    private final RankKey key;
    private final RankAddress address;
    private final RequestContext context;
    private final AttemptListener listener;
    private final StreamAssembler assembler;
    private @Nullable AgentLink link;
    private long incarnation;
    private long admitByMillis;
    private int fenceSerial;
    private int pendingCredits;
    private int trackedTokens;
    private boolean closed;

    AttemptExchange(AttemptId id, RankKey key, RankAddress address, RequestContext context, AttemptListener listener) {
        this.id = id;
        this.key = key;
        this.address = address;
        this.context = context;
        this.listener = listener;
        assembler = new StreamAssembler(id);
    }

    AttemptId id() {
        return id;
    }

    RankKey key() {
        return key;
    }

    /**
     * Sends the request. The agent's deadline is slightly earlier than the caller's, so that a failure it reports at its
     * deadline still reaches the caller in time.
     */
    void dispatch(AgentLink newLink, CallerRequest request, boolean idempotent, long deadlineMillis) {
        long nowMillis = context.time().monotonicMillis();
        link = newLink;
        incarnation = newLink.agentIncarnation();
        admitByMillis = newLink.toAgentMillis(nowMillis) + ADMIT_WINDOW_MILLIS;
        trackedTokens = request.estimatedTokens();
        context.router().onDispatch(key, trackedTokens);
        newLink.register(id, this);
        newLink.announceTable();
        newLink.send(new AttemptMessage.Dispatch(
                id,
                incarnation,
                key.row(),
                key.rank(),
                request.organisation(),
                request.priority().name(),
                idempotent,
                request.method(),
                request.targetPath(),
                request.contentType(),
                request.idempotencyKey(),
                request.body(),
                newLink.toAgentMillis(deadlineMillis) - DEADLINE_MARGIN_MILLIS,
                request.estimatedTokens(),
                CREDIT_CHUNKS,
                admitByMillis));
    }

    /** Asks the agent for the outcome of the attempt, over a new link if the old one is closed. */
    void fence() {
        int serial = ++fenceSerial;
        var unused = context.links().link(address).whenComplete((newLink, error) -> listener.boundary()
                .run("fence", () -> sendFence(serial, error == null ? newLink : null)));
    }

    private void sendFence(int serial, @Nullable AgentLink newLink) {
        if (closed || serial != fenceSerial) {
            return;
        }
        if (newLink != null) {
            link = newLink;
            newLink.register(id, this);
            newLink.send(new AttemptMessage.Fence(id, incarnation, admitByMillis));
        }
        long waitMillis = newLink != null ? FENCE_TIMEOUT_MILLIS : FENCE_RETRY_DELAY_MILLIS;
        context.vertx().setTimer(waitMillis, timer -> {
            if (!closed && serial == fenceSerial) {
                listener.boundary().run("fence timeout", () -> listener.onFenceTimeout(this));
            }
        });
    }

    /** Asks the agent to resume the stream at {@code fromSequence}. */
    void resume(long fromSequence) {
        send(new AttemptMessage.Resume(id, fromSequence, CREDIT_CHUNKS));
    }

    /** Grants the agent one more chunk for the chunk just received, once the caller can be sent more data. */
    void grantCredit(ResponseWriter responseWriter) {
        pendingCredits++;
        if (!responseWriter.isFull()) {
            sendCredits();
        } else if (pendingCredits == 1) {
            responseWriter.onWritable(listener.boundary().wrap("grant credit", this::sendCredits));
        }
    }

    /** Acknowledges the complete response to the agent and ends the exchange. */
    void acknowledgeResponse() {
        send(new AttemptMessage.Received(id));
        close();
    }

    /** Tells the agent to cancel the attempt and ends the exchange. */
    void cancel() {
        send(new AttemptMessage.Cancel(id));
        close();
    }

    /** Ends the exchange without a message to the agent. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (trackedTokens > 0) {
            context.router().onFinish(key, trackedTokens);
        }
        if (link != null) {
            link.unregister(id);
        }
    }

    @Override
    public void onMessage(AttemptMessage message) {
        listener.boundary().run("message of agent", () -> handle(message));
    }

    private void handle(AttemptMessage message) {
        if (message instanceof AttemptMessage.Head head) {
            onHead(head);
        } else if (message instanceof AttemptMessage.Chunk chunk) {
            onChunk(new StreamChunk(chunk.sequence(), chunk.data()));
        } else if (message instanceof AttemptMessage.End end) {
            listener.onEnd(this, assembler.end(id, new StreamEnd(end.chunkCount(), end.crc32c())));
        } else if (message instanceof AttemptMessage.Refused refused) {
            Duration retryAfter = Duration.ofMillis(refused.retryAfterMillis());
            listener.onRefused(this, ResultCode.ofNumber(refused.code()), retryAfter);
        } else if (message instanceof AttemptMessage.Failed failed) {
            listener.onFailed(this, ResultCode.ofNumber(failed.code()));
        } else if (message instanceof AttemptMessage.FenceReply fenceReply) {
            fenceSerial++;
            listener.onFenceOutcome(this, toFenceOutcome(fenceReply));
        }
    }

    /** An agent of an earlier build may pass on a status that is not one of a response. */
    private void onHead(AttemptMessage.Head head) {
        if (ResponseHead.isFinal(head.status())) {
            listener.onHead(new ResponseHead(head.status(), head.contentType()));
            return;
        }
        Events.log(
                logger,
                EventCode.MALFORMED_RESPONSE,
                "target",
                key,
                "attempt",
                id,
                "violation",
                "status " + head.status() + " is not one of a final response");
        send(new AttemptMessage.Cancel(id));
        listener.onFailed(this, ResultCode.OUTCOME_UNKNOWN);
    }

    @Override
    public void onLinkLost() {
        if (!closed) {
            link = null;
            listener.boundary().run("link lost", () -> listener.onDisconnected(this));
        }
    }

    private void onChunk(StreamChunk chunk) {
        if (assembler.accept(id, chunk)) {
            listener.onChunk(this, chunk);
        } else {
            context.onDroppedFrame().run();
        }
    }

    private void sendCredits() {
        if (!closed && pendingCredits > 0) {
            send(new AttemptMessage.Credit(id, pendingCredits, assembler.nextSequence()));
            pendingCredits = 0;
        }
    }

    private void send(AttemptMessage message) {
        if (link != null) {
            link.send(message);
        }
    }

    private static FenceOutcome toFenceOutcome(AttemptMessage.FenceReply reply) {
        ResultCode code = reply.code() == 0 ? null : ResultCode.ofNumber(reply.code());
        return switch (reply.state()) {
            case NEVER_ADMITTED -> new FenceOutcome.NeverAdmitted();
            case RUNNING -> new FenceOutcome.Running(reply.firstHeldSequence(), reply.nextSequence());
            case ENDED -> new FenceOutcome.Ended(reply.firstHeldSequence(), reply.nextSequence(), code);
            case UNKNOWN -> new FenceOutcome.Unknown(code == null ? ResultCode.OUTCOME_UNKNOWN : code);
        };
    }
}
