package firwheel.proxy.server;

import firwheel.model.Outcome;
import firwheel.model.ResultCode;
import firwheel.proxy.attempt.EventSplitter;
import firwheel.proxy.attempt.ExecutionLedger;
import firwheel.proxy.balance.ReturnTimes.Reason;
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

/**
 * The life of one request in an entry: choose a target, send, pass the answer on, and go to another target where the
 * first failed and the request may run there. All methods run on the entry's event loop.
 */
final class RequestRun implements TargetAttempt.Listener {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int HTTP_OK = 200;
    private static final int FIRST_SERVER_ERROR = 500;

    private final ProxyState state;
    private final HttpServerRequest request;
    private final RequestMetadata incoming;
    private final CallerAnswer answer;
    private final Consumer<RequestRun> onEnd;
    private final long arrivedNanos;
    private final RequestLog log;
    private final AnswerTiming timing = new AnswerTiming();
    private final ExecutionLedger ledger = new ExecutionLedger();
    private final Set<Target.Key> tried = new HashSet<>();
    private Buffer body = Buffer.buffer();
    private @Nullable Route route;
    private @Nullable Organisation organisation;
    private String service = "";
    private long endNanos;
    private long timer = -1;
    private @Nullable TargetAttempt current;
    private @Nullable String lastEventId;
    private boolean finished;
    private boolean ended;

    RequestRun(ProxyState state, HttpServerRequest request, RequestMetadata incoming, Consumer<RequestRun> onEnd) {
        this.state = state;
        this.request = request;
        this.incoming = incoming;
        this.onEnd = onEnd;
        arrivedNanos = state.time.monotonicNanos();
        lastEventId = incoming.lastEventId();
        log = new RequestLog(incoming.attemptId(), ledger::sends, this::configVersion, this::elapsedMillis);
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
        TargetAttempt running = current;
        if (running != null && !(route != null && route.kind() == RequestKind.AT_MOST_ONCE)) {
            running.cancel();
        }
    }

    /** Answers with a refusal; used before {@link #start} for requests that break a limit. */
    void refuse(Refusal refusal) {
        if (finished) {
            return;
        }
        log.refused(refusal);
        answerAs("refused", refusal);
    }

    private void answerAs(String outcome, Refusal refusal) {
        state.metrics.countRefusal(refusal.code());
        finish(outcome);
        answer.refuse(refusal);
    }

    private boolean identify(RoutingConfig config, Route found) {
        String key = incoming.apiKey();
        organisation = key == null ? null : config.organisation(key);
        return organisation != null || found.authExempt();
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
        log.targetNotReached(target, cause);
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
        TargetAttempt attempt = new TargetAttempt(state, to, lent, incoming.attemptId(), ledger, this);
        current = attempt;
        long remainingMillis = Math.max(1, (endNanos - state.time.monotonicNanos()) / NANOS_PER_MILLI);
        String organisationName = organisation == null ? null : organisation.name();
        attempt.send(
                request, new ForwardingMetadata(lent.target(), organisationName, remainingMillis, lastEventId), body);
    }

    /** Goes to another target where the request may run there; returns false where it may not. */
    private boolean sendAgain(String reason) {
        Route to = route;
        if (to == null || finished || !ledger.maySend(to.repeatable(), to.maxAttempts())) {
            return false;
        }
        if (!state.placement.canChoose(service, tried) || !state.budget(service).tryRepeat()) {
            return false;
        }
        state.metrics.countRepeat(reason);
        log.repeated(reason);
        dispatch(to);
        return true;
    }

    /** Ends the request without an answer of a target. */
    private void fail(ResultCode code, String detail, Reason reason) {
        if (finished) {
            return;
        }
        if (answer.started()) {
            log.failed(code, detail);
            finish("broken");
            answer.abort();
        } else if (ledger.provenNotRun()) {
            ResultCode refusal = code.outcome() == Outcome.NOT_RUN ? code : ResultCode.TARGET_REFUSED;
            refuse(Refusal.of(refusal, detail, returnAfter(reason)));
        } else {
            ResultCode failure = code.outcome() == Outcome.NOT_RUN ? ResultCode.OUTCOME_UNKNOWN : code;
            log.failed(failure, detail);
            answerAs("failed", Refusal.of(failure, detail, Duration.ZERO));
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

    private void onTimeout() {
        timer = -1;
        if (finished) {
            return;
        }
        TargetAttempt running = current;
        fail(ResultCode.DEADLINE_PASSED, "no whole answer in " + elapsedMillis() + " ms", Reason.TARGETS_FULL);
        if (running != null) {
            running.cancel();
        }
    }

    private void deliver(Target target, ResponseHead head, Buffer whole) {
        if (finished) {
            return;
        }
        recordPiece();
        finish(head.success() ? "complete" : "target-failure");
        log.completed(service, target, head.status(), timing);
        answer.sendWhole(head, whole);
    }

    /** Measures the time to the first piece of the answer and the pauses between the others. */
    private void recordPiece() {
        long nowMillis = elapsedMillis();
        if (timing.onPiece(nowMillis)) {
            state.metrics.recordFirstByte(kindLabel(), nowMillis / MILLIS_PER_SECOND);
        }
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

    @Override
    public void onEvent(TargetAttempt attempt, ResponseHead head, EventSplitter.Event event) {
        if (finished) {
            return;
        }
        if (!answer.started()) {
            answer.startStream(head);
        }
        recordPiece();
        if (event.id() != null) {
            lastEventId = event.id();
        }
        if (answer.sendPiece(Buffer.buffer(event.bytes()))) {
            attempt.pause();
            answer.onDrained(attempt::resume);
        }
    }

    @Override
    public void onStreamEnd(TargetAttempt attempt, ResponseHead head) {
        if (finished) {
            return;
        }
        if (!answer.started()) {
            deliver(attempt.target(), head, Buffer.buffer());
            return;
        }
        finish("complete");
        log.completed(service, attempt.target(), HTTP_OK, timing);
        answer.endStream();
    }

    @Override
    public void onWhole(TargetAttempt attempt, ResponseHead head, Buffer whole) {
        deliver(attempt.target(), head, whole);
    }

    @Override
    public void onNotRun(TargetAttempt attempt, ResponseHead head) {
        if (!sendAgain("not-run")) {
            fail(
                    ResultCode.TARGET_REFUSED,
                    "target " + attempt.target().instanceId() + " refused with status " + head.status(),
                    state.placement.canChoose(service, Set.of()) ? Reason.TARGETS_FULL : Reason.NO_TARGET_COMPUTES);
        }
    }

    @Override
    public void onTargetFailure(TargetAttempt attempt, ResponseHead head, Buffer whole) {
        boolean mayPass = head.status() < FIRST_SERVER_ERROR;
        if (answer.started()) {
            String detail = "target " + attempt.target().instanceId() + " failed with status " + head.status();
            if (mayPass || !sendAgain("broken")) {
                fail(ResultCode.STREAM_BROKEN, detail, Reason.TARGETS_FULL);
            }
        } else if (mayPass || !sendAgain("target-failure")) {
            deliver(attempt.target(), head, whole);
        }
    }

    @Override
    public void onLost(TargetAttempt attempt, String reason) {
        if (!sendAgain("broken")) {
            fail(
                    answer.started() ? ResultCode.STREAM_BROKEN : ResultCode.OUTCOME_UNKNOWN,
                    reason,
                    Reason.NO_TARGET_COMPUTES);
        }
    }

    @Override
    public boolean onSilence(TargetAttempt attempt) {
        if (finished) {
            return false;
        }
        boolean stream = route != null && route.kind() == RequestKind.STREAM;
        if (stream && !state.placement.othersAnswer(service, attempt.target())) {
            return true;
        }
        attempt.load().onUnreachable(state.time.monotonicNanos());
        if (sendAgain("silence")) {
            attempt.cancel();
        }
        return false;
    }
}
