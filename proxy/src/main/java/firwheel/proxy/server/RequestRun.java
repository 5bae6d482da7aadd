package firwheel.proxy.server;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.ResultCode;
import firwheel.proxy.attempt.EventSplitter;
import firwheel.proxy.attempt.ExecutionLedger;
import firwheel.proxy.balance.ReturnTimes.Reason;
import firwheel.proxy.balance.TargetLoad;
import firwheel.proxy.config.Organisation;
import firwheel.proxy.config.RequestKind;
import firwheel.proxy.config.Route;
import firwheel.proxy.config.RoutingConfig;
import firwheel.proxy.targets.Target;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The life of one request in an entry: choose a target, send, pass the answer on, and go to another target where the
 * first failed and the request may run there. All methods run on the entry's event loop.
 */
final class RequestRun {
    private static final long STREAM_SILENCE_MILLIS =
            1_700; // above the 1.5 s for which a group waits for a lost rank, below the callers' 2 s
    private static final long MIN_SILENCE_MILLIS = 250; // several times the time of a plain request
    private static final int MAX_WHOLE_ANSWER_BYTES = 8 * 1024 * 1024; // answers are kept in memory until whole
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int HTTP_OK = 200;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final Logger logger = LoggerFactory.getLogger(RequestRun.class);

    private final ProxyState state;
    private final HttpServerRequest request;
    private final IncomingRequest incoming;
    private final CallerAnswer answer;
    private final Consumer<RequestRun> onEnd;
    private final long arrivedNanos;
    private final ExecutionLedger ledger = new ExecutionLedger();
    private final Set<Target.Key> tried = new HashSet<>();
    private Buffer body = Buffer.buffer();
    private @Nullable Route route;
    private @Nullable Organisation organisation;
    private String service = "";
    private long endNanos;
    private long timer = -1;
    private @Nullable Attempt current;
    private @Nullable String lastEventId;
    private long firstByteMillis = -1;
    private long lastPieceMillis;
    private long longestPauseMillis;
    private boolean finished;
    private boolean ended;

    RequestRun(ProxyState state, HttpServerRequest request, IncomingRequest incoming, Consumer<RequestRun> onEnd) {
        this.state = state;
        this.request = request;
        this.incoming = incoming;
        this.onEnd = onEnd;
        arrivedNanos = state.time.monotonicNanos();
        lastEventId = incoming.lastEventId();
        answer = new CallerAnswer(request, state.draining(), this::end);
    }

    /** Starts once the whole request has arrived. */
    void start(Buffer wholeBody) {
        body = wholeBody;
        RoutingConfig config = state.config();
        if (config == null) {
            refuse(Refusal.of(
                    ResultCode.NO_TABLE, "no configuration is known yet", returnAfter(Reason.PROCESS_NOT_READY)));
            return;
        }
        Route found = config.route(host(), request.path());
        if (found == null) {
            refuse(Refusal.of(ResultCode.UNKNOWN_PATH, "no route for " + host() + request.path(), Duration.ZERO));
            return;
        }
        if (config.keysRequired() && !identify(config, found)) {
            refuse(Refusal.of(ResultCode.UNKNOWN_KEY, "route " + found.name(), Duration.ZERO));
            return;
        }
        route = found;
        service = found.pickService(state.random.getAsDouble());
        state.budget(service).onRequest();
        long allowedMillis = incoming.deadlineMillis() > 0
                ? Math.min(incoming.deadlineMillis(), found.timeoutMillis())
                : found.timeoutMillis();
        endNanos = arrivedNanos + allowedMillis * NANOS_PER_MILLI;
        timer = state.vertx.setTimer(Math.max(1, allowedMillis), id -> onTimeout());
        dispatch(found);
    }

    /** Ends the request because its caller has left; work that may not be repeated goes on to its end. */
    void onCallerGone() {
        if (finished) {
            end();
            return;
        }
        finish("caller left");
        end();
        Attempt running = current;
        if (running != null && !(route != null && route.kind() == RequestKind.AT_MOST_ONCE)) {
            running.cancel();
        }
    }

    /** Answers with a refusal; used before {@link #start} for requests that break a limit. */
    void refuse(Refusal refusal) {
        if (finished) {
            return;
        }
        state.metrics.countRefusal(refusal.code());
        Events.log(
                logger,
                EventCode.REQUEST_REFUSED,
                "request",
                incoming.attemptId(),
                "code",
                refusal.code().label(),
                "status",
                refusal.status(),
                "detail",
                refusal.detail(),
                "sends",
                ledger.sends(),
                "config",
                configVersion(),
                "afterMillis",
                elapsedMillis(),
                "retryAfterMillis",
                refusal.retryAfter().toMillis());
        finish("refused");
        answer.refuse(refusal);
    }

    private boolean identify(RoutingConfig config, Route found) {
        String key = incoming.apiKey();
        organisation = key == null ? null : config.organisation(key);
        return organisation != null || found.keyExempt();
    }

    private String host() {
        String host = request.getHeader("Host");
        return host == null ? "" : host;
    }

    private void dispatch(Route to) {
        Target target = state.placement.choose(service, tried);
        if (target == null) {
            fail(
                    ResultCode.NO_TARGET,
                    "no target of service " + service + " may get work, " + tried.size() + " tried",
                    Reason.NO_TARGET_COMPUTES);
            return;
        }
        boolean fresh = to.kind() == RequestKind.AT_MOST_ONCE;
        var unused = state.connections.acquire(target, fresh).onComplete(result -> {
            if (result.failed()) {
                onConnectFailed(to, target, result.cause());
            } else {
                onConnected(to, result.result());
            }
        });
    }

    private void onConnectFailed(Route to, Target target, Throwable cause) {
        state.placement.load(target).onUnreachable(state.time.monotonicNanos());
        tried.add(target.key());
        logger.atInfo()
                .addKeyValue("request", incoming.attemptId())
                .addKeyValue("target", target.instanceId())
                .addKeyValue("reason", cause.getMessage())
                .log("target could not be reached");
        if (!finished) {
            dispatch(to);
        }
    }

    private void onConnected(Route to, TargetConnections.Lent lent) {
        if (finished) {
            TargetConnections.close(lent.connection());
            return;
        }
        if (!state.directory.isServing(lent.target())) {
            TargetConnections.close(lent.connection());
            dispatch(to);
            return;
        }
        tried.add(lent.target().key());
        Attempt attempt = new Attempt(to, lent);
        current = attempt;
        attempt.send();
    }

    /** Goes to another target where the request may run there; returns false where it may not. */
    private boolean sendAgain(Route to, String reason) {
        if (finished || !ledger.maySend(to.repeatable(), to.maxAttempts())) {
            return false;
        }
        if (state.placement.choose(service, tried) == null
                || !state.budget(service).tryRepeat()) {
            return false;
        }
        state.metrics.countRepeat(reason);
        Events.log(
                logger,
                EventCode.REQUEST_REPEATED,
                "request",
                incoming.attemptId(),
                "reason",
                reason,
                "sends",
                ledger.sends(),
                "afterMillis",
                elapsedMillis());
        dispatch(to);
        return true;
    }

    private void logCompletion(int status, Target target) {
        Events.log(
                logger,
                EventCode.REQUEST_COMPLETED,
                "request",
                incoming.attemptId(),
                "service",
                service,
                "target",
                target.instanceId(),
                "status",
                status,
                "sends",
                ledger.sends(),
                "config",
                configVersion(),
                "firstByteMillis",
                firstByteMillis,
                "longestPauseMillis",
                longestPauseMillis,
                "afterMillis",
                elapsedMillis());
    }

    /** Ends the request without an answer of a target. */
    private void fail(ResultCode code, String detail, Reason reason) {
        if (finished) {
            return;
        }
        if (answer.started()) {
            logFailure(code, detail);
            finish("broken");
            answer.abort();
        } else if (ledger.provenNotRun()) {
            ResultCode refusal = code.outcome() == firwheel.model.Outcome.NOT_RUN ? code : ResultCode.TARGET_REFUSED;
            refuse(Refusal.of(refusal, detail, returnAfter(reason)));
        } else {
            ResultCode failure = code.outcome() == firwheel.model.Outcome.NOT_RUN ? ResultCode.OUTCOME_UNKNOWN : code;
            logFailure(failure, detail);
            refuse(Refusal.of(failure, detail, Duration.ZERO));
        }
    }

    /** Returns when the caller should come back; one that stated no deadline is taken to wait as long as the route allows. */
    private Duration returnAfter(Reason reason) {
        long deadlineMillis = incoming.deadlineMillis();
        if (deadlineMillis == 0 && route != null) {
            deadlineMillis = route.timeoutMillis();
        }
        return state.returnTimes.after(reason, Duration.ofMillis(deadlineMillis - elapsedMillis()));
    }

    private void logFailure(ResultCode code, String detail) {
        Events.log(
                logger,
                EventCode.REQUEST_FAILED,
                "request",
                incoming.attemptId(),
                "code",
                code.label(),
                "detail",
                detail,
                "sends",
                ledger.sends(),
                "afterMillis",
                elapsedMillis());
    }

    private void onTimeout() {
        timer = -1;
        if (finished) {
            return;
        }
        Attempt running = current;
        fail(ResultCode.DEADLINE_PASSED, "no whole answer in " + elapsedMillis() + " ms", Reason.TARGETS_FULL);
        if (running != null) {
            running.cancel();
        }
    }

    private void deliver(Target target, AnswerHead head, Buffer whole) {
        if (finished) {
            return;
        }
        recordPiece();
        finish(head.success() ? "complete" : "target-failure");
        logCompletion(head.status(), target);
        answer.sendWhole(head, whole);
    }

    /** Measures the time to the first piece of the answer and the pauses between the others. */
    private void recordPiece() {
        long nowMillis = elapsedMillis();
        if (firstByteMillis < 0) {
            firstByteMillis = nowMillis;
            state.metrics.recordFirstByte(kindLabel(), nowMillis / MILLIS_PER_SECOND);
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastPieceMillis);
        }
        lastPieceMillis = nowMillis;
    }

    private String kindLabel() {
        return route == null ? "none" : route.kind().name().toLowerCase(Locale.ROOT);
    }

    private void finish(String outcome) {
        finished = true;
        if (timer >= 0) {
            state.vertx.cancelTimer(timer);
        }
        state.metrics.countAnswer(kindLabel(), outcome);
    }

    private void end() {
        if (!ended) {
            ended = true;
            onEnd.accept(this);
        }
    }

    private long configVersion() {
        RoutingConfig config = state.config();
        return config == null ? -1 : config.version();
    }

    private long elapsedMillis() {
        return (state.time.monotonicNanos() - arrivedNanos) / NANOS_PER_MILLI;
    }

    /** One send of the request to one target. */
    private final class Attempt implements TargetExchange.Listener {
        private final Route to;
        private final Target target;
        private final TargetLoad load;
        private final TargetExchange exchange;
        private final EventSplitter splitter = new EventSplitter();
        private Buffer whole = Buffer.buffer();
        private @Nullable AnswerHead head;
        private long sentNanos;
        private long silenceTimer = -1;
        private boolean ended;

        Attempt(Route to, TargetConnections.Lent lent) {
            this.to = to;
            this.target = lent.target();
            load = state.placement.load(target);
            exchange = new TargetExchange(state.connections, lent, state.protocol, incoming.attemptId(), this);
        }

        void send() {
            sentNanos = state.time.monotonicNanos();
            ledger.sent();
            load.onSend();
            long remainingMillis = Math.max(1, (endNanos - sentNanos) / NANOS_PER_MILLI);
            Dispatch dispatch = new Dispatch(
                    target, organisation == null ? null : organisation.name(), remainingMillis, lastEventId);
            exchange.send(request.method(), request.uri(), state.protocol.dispatchHeaders(request, dispatch), body);
            watchSilence();
        }

        void cancel() {
            if (!ended) {
                end();
                exchange.cancel();
            }
        }

        @Override
        public void onHead(AnswerHead received) {
            load.onHeard(state.time.monotonicNanos());
            head = received;
            if (received.statedNotRun()) {
                ledger.statedNotRun();
            }
        }

        @Override
        public void onBytes(Buffer bytes) {
            AnswerHead answerHead = head;
            if (answerHead == null) {
                return;
            }
            load.onHeard(state.time.monotonicNanos());
            if (to.kind() != RequestKind.STREAM || !isTargetsOwn(answerHead) || !answerHead.success()) {
                whole.appendBuffer(bytes);
                if (whole.length() > MAX_WHOLE_ANSWER_BYTES) {
                    exchange.cancel();
                    onBroken("answer exceeds " + MAX_WHOLE_ANSWER_BYTES + " bytes");
                }
                return;
            }
            for (EventSplitter.Event event : splitter.accept(bytes.getBytes())) {
                passOn(answerHead, event);
            }
        }

        @Override
        public void onEnd() {
            if (ended) {
                return;
            }
            AnswerHead answerHead = head;
            end();
            if (answerHead == null) {
                return;
            }
            if (answerHead.statedNotRun()) {
                onNotRun(answerHead);
            } else if (!isTargetsOwn(answerHead)) {
                load.onFailure(state.time.monotonicNanos());
                goOnElsewhere("status " + answerHead.status() + " is not signed by target " + target.instanceId());
            } else if (!answerHead.success()) {
                onTargetFailure(answerHead);
            } else if (to.kind() == RequestKind.STREAM) {
                onStreamEnd();
            } else {
                succeed();
                deliver(target, answerHead, whole);
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
            goOnElsewhere("target " + target.instanceId() + ": " + reason);
        }

        private boolean isTargetsOwn(AnswerHead answerHead) {
            return answerHead.sealed() && !answerHead.encoded();
        }

        private void passOn(AnswerHead answerHead, EventSplitter.Event event) {
            if (finished) {
                return;
            }
            watchSilence();
            if (!answer.started()) {
                load.onSuccess(state.time.monotonicNanos(), sinceSendMillis());
                answer.startStream(answerHead);
            }
            recordPiece();
            if (event.id() != null) {
                lastEventId = event.id();
            }
            if (answer.sendPiece(Buffer.buffer(event.bytes()))) {
                exchange.pause();
                answer.onDrained(exchange::resume);
            }
        }

        private void onStreamEnd() {
            if (finished) {
                return;
            }
            if (splitter.remainder().length > 0) {
                load.onFailure(state.time.monotonicNanos());
                goOnElsewhere("target " + target.instanceId() + " ended within an event");
                return;
            }
            if (!answer.started()) {
                AnswerHead answerHead = head;
                if (answerHead != null) {
                    deliver(target, answerHead, whole);
                }
                return;
            }
            finish("complete");
            logCompletion(HTTP_OK, target);
            answer.endStream();
        }

        private void onNotRun(AnswerHead answerHead) {
            if (answerHead.otherInstance()) {
                load.onUnreachable(state.time.monotonicNanos());
            }
            if (!sendAgain(to, "not-run")) {
                fail(
                        ResultCode.TARGET_REFUSED,
                        "target " + target.instanceId() + " refused with status " + answerHead.status(),
                        state.placement.canChoose(service, Set.of()) ? Reason.TARGETS_FULL : Reason.NO_TARGET_COMPUTES);
            }
        }

        private void onTargetFailure(AnswerHead answerHead) {
            if (answerHead.status() >= FIRST_SERVER_ERROR) {
                load.onFailure(state.time.monotonicNanos());
                if (answer.started()) {
                    goOnElsewhere("target " + target.instanceId() + " failed with status " + answerHead.status());
                    return;
                }
                if (sendAgain(to, "target-failure")) {
                    return;
                }
            }
            if (answer.started()) {
                fail(ResultCode.STREAM_BROKEN, "status " + answerHead.status() + " on resuming", Reason.TARGETS_FULL);
            } else {
                deliver(target, answerHead, whole);
            }
        }

        private void goOnElsewhere(String reason) {
            if (!sendAgain(to, "broken")) {
                fail(
                        answer.started() ? ResultCode.STREAM_BROKEN : ResultCode.OUTCOME_UNKNOWN,
                        reason,
                        Reason.NO_TARGET_COMPUTES);
            }
        }

        private void succeed() {
            load.onSuccess(state.time.monotonicNanos(), sinceSendMillis());
        }

        private double sinceSendMillis() {
            return (state.time.monotonicNanos() - sentNanos) / (double) NANOS_PER_MILLI;
        }

        private void watchSilence() {
            stopWatching();
            if (!to.repeatable()) {
                return;
            }
            long millis = to.kind() == RequestKind.STREAM
                    ? STREAM_SILENCE_MILLIS
                    : Math.max(MIN_SILENCE_MILLIS, to.timeoutMillis() / 2);
            silenceTimer = state.vertx.setTimer(millis, id -> onSilence());
        }

        private void onSilence() {
            silenceTimer = -1;
            if (ended || finished) {
                return;
            }
            if (to.kind() == RequestKind.STREAM && !state.placement.othersAnswer(service, target)) {
                watchSilence();
                return;
            }
            load.onUnreachable(state.time.monotonicNanos());
            if (sendAgain(to, "silence")) {
                cancel();
            }
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
}
