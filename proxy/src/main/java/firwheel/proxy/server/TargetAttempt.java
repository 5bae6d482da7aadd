package firwheel.proxy.server;

import firwheel.proxy.attempt.EventSplitter;
import firwheel.proxy.attempt.ExecutionLedger;
import firwheel.proxy.balance.TargetLoad;
import firwheel.proxy.config.RequestKind;
import firwheel.proxy.config.Route;
import firwheel.proxy.targets.Target;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.jspecify.annotations.Nullable;

/**
 * One send of a request to one target. It tells its listener what came of it, exactly one of the ends unless it is
 * cancelled, and keeps the account of the target's load.
 */
final class TargetAttempt implements TargetExchange.Listener {
    /** Decides what follows from what a target does. */
    interface Listener {
        /** A whole event of a successful stream has come. */
        void onEvent(TargetAttempt attempt, ResponseHead head, EventSplitter.Event event);

        /** A successful stream has ended after its last event. */
        void onStreamEnd(TargetAttempt attempt, ResponseHead head);

        /** The whole of a successful plain answer has come. */
        void onWhole(TargetAttempt attempt, ResponseHead head, Buffer whole);

        /** The target has stated that the request did not run there. */
        void onNotRun(TargetAttempt attempt, ResponseHead head);

        /** The target has answered with a failure of its own. */
        void onTargetFailure(TargetAttempt attempt, ResponseHead head, Buffer whole);

        /** No whole answer of the target will come. */
        void onLost(TargetAttempt attempt, String reason);

        /** Nothing came for a while; returns whether to go on waiting. */
        boolean onSilence(TargetAttempt attempt);
    }

    private static final long STREAM_SILENCE_MILLIS =
            1_700; // above the 1.5 s for which a group waits for a lost rank, below the callers' 2 s
    private static final long MIN_SILENCE_MILLIS = 250; // several times the time of a plain request
    private static final int MAX_WHOLE_ANSWER_BYTES = 8 * 1024 * 1024; // answers are kept in memory until whole
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int FIRST_SERVER_ERROR = 500;

    private final ProxyState state;
    private final Route route;
    private final Target target;
    private final ExecutionLedger ledger;
    private final Listener listener;
    private final TargetLoad load;
    private final TargetExchange exchange;
    private final EventSplitter splitter = new EventSplitter();
    private final Buffer whole = Buffer.buffer();
    private @Nullable ResponseHead head;
    private long sentNanos;
    private long silenceTimer = -1;
    private boolean eventSeen;
    private boolean ended;

    TargetAttempt(
            ProxyState state,
            Route route,
            TargetConnections.Lent lent,
            @Nullable String attemptId,
            ExecutionLedger ledger,
            Listener listener) {
        this.state = state;
        this.route = route;
        this.target = lent.target();
        this.ledger = ledger;
        this.listener = listener;
        load = state.placement.load(target);
        exchange = new TargetExchange(state.connections, lent, state.protocol, attemptId, this);
    }

    Target target() {
        return target;
    }

    TargetLoad load() {
        return load;
    }

    void send(HttpServerRequest request, ForwardingMetadata dispatch, Buffer body) {
        sentNanos = state.time.monotonicNanos();
        ledger.sent();
        load.onSend();
        exchange.send(request.method(), request.uri(), state.protocol.targetRequestHeaders(request, dispatch), body);
        watchSilence();
    }

    /** Breaks the exchange off; the listener hears no more. */
    void cancel() {
        if (!ended) {
            end();
            exchange.cancel();
        }
    }

    void pause() {
        exchange.pause();
    }

    void resume() {
        exchange.resume();
    }

    @Override
    public void onHead(ResponseHead received) {
        load.onHeard(state.time.monotonicNanos());
        head = received;
        if (received.notExecuted()) {
            ledger.statedNotRun();
        }
    }

    @Override
    public void onBytes(Buffer bytes) {
        ResponseHead answerHead = head;
        if (answerHead == null) {
            return;
        }
        load.onHeard(state.time.monotonicNanos());
        if (isStream(answerHead)) {
            for (EventSplitter.Event event : splitter.accept(bytes.getBytes())) {
                onStreamEvent(answerHead, event);
            }
            return;
        }
        whole.appendBuffer(bytes);
        if (whole.length() > MAX_WHOLE_ANSWER_BYTES) {
            exchange.cancel();
            onBroken("answer exceeds " + MAX_WHOLE_ANSWER_BYTES + " bytes");
        }
    }

    @Override
    public void onEnd() {
        if (ended) {
            return;
        }
        end();
        ResponseHead answerHead = head;
        if (answerHead == null) {
            listener.onLost(this, "target " + target.instanceId() + " ended before its answer");
        } else if (answerHead.notExecuted()) {
            if (answerHead.wrongInstance()) {
                load.onUnreachable(state.time.monotonicNanos());
            }
            listener.onNotRun(this, answerHead);
        } else if (!isTargetsOwn(answerHead)) {
            load.onFailure(state.time.monotonicNanos());
            listener.onLost(this, "status " + answerHead.status() + " is not signed by target " + target.instanceId());
        } else if (!answerHead.success()) {
            if (answerHead.status() >= FIRST_SERVER_ERROR) {
                load.onFailure(state.time.monotonicNanos());
            }
            listener.onTargetFailure(this, answerHead, whole);
        } else if (isStream(answerHead)) {
            endStream(answerHead);
        } else {
            load.onSuccess(state.time.monotonicNanos(), sinceSendMillis());
            listener.onWhole(this, answerHead, whole);
        }
    }

    @Override
    public void onBroken(String reason) {
        if (ended) {
            return;
        }
        end();
        if (head == null) {
            load.onUnreachable(state.time.monotonicNanos());
        } else {
            load.onFailure(state.time.monotonicNanos());
        }
        listener.onLost(this, "target " + target.instanceId() + ": " + reason);
    }

    private boolean isStream(ResponseHead answerHead) {
        return route.kind() == RequestKind.STREAM && isTargetsOwn(answerHead) && answerHead.success();
    }

    private static boolean isTargetsOwn(ResponseHead answerHead) {
        return answerHead.signed() && !answerHead.contentEncoded();
    }

    private void onStreamEvent(ResponseHead answerHead, EventSplitter.Event event) {
        if (ended) {
            return;
        }
        watchSilence();
        if (!eventSeen) {
            eventSeen = true;
            load.onSuccess(state.time.monotonicNanos(), sinceSendMillis());
        }
        listener.onEvent(this, answerHead, event);
    }

    private void endStream(ResponseHead answerHead) {
        if (splitter.remainder().length > 0) {
            load.onFailure(state.time.monotonicNanos());
            listener.onLost(this, "target " + target.instanceId() + " ended within an event");
        } else {
            listener.onStreamEnd(this, answerHead);
        }
    }

    private double sinceSendMillis() {
        return (state.time.monotonicNanos() - sentNanos) / (double) NANOS_PER_MILLI;
    }

    /** Only requests that may run again elsewhere are taken away from a silent target. */
    private void watchSilence() {
        stopWatching();
        if (!route.repeatable()) {
            return;
        }
        long millis = route.kind() == RequestKind.STREAM
                ? STREAM_SILENCE_MILLIS
                : Math.max(MIN_SILENCE_MILLIS, route.timeoutMillis() / 2);
        silenceTimer = state.vertx.setTimer(millis, id -> {
            silenceTimer = -1;
            if (!ended && listener.onSilence(this)) {
                watchSilence();
            }
        });
    }

    private void stopWatching() {
        if (silenceTimer >= 0) {
            state.vertx.cancelTimer(silenceTimer);
            silenceTimer = -1;
        }
    }

    private void end() {
        ended = true;
        load.onEnd();
        stopWatching();
    }
}
