package firwheel.proxy.server;

import firwheel.model.FaultBoundary;
import firwheel.model.Outcome;
import firwheel.model.ResultCode;
import firwheel.proxy.attempt.EventSplitter;
import firwheel.proxy.attempt.ExecutionTracker;
import firwheel.proxy.balance.HeldRequests;
import firwheel.proxy.balance.RetryAfterPolicy.Reason;
import firwheel.proxy.config.Organisation;
import firwheel.proxy.config.RequestKind;
import firwheel.proxy.config.Route;
import firwheel.proxy.config.RoutingConfig;
import firwheel.proxy.crash.RequestFingerprint;
import firwheel.proxy.memory.CollectedBytes;
import firwheel.proxy.memory.HeldBytes;
import firwheel.proxy.targets.Target;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Handles one request: selects a target, forwards the request and its response, and retries at another target after a
 * failure if the request may be executed there. All methods run on the event loop of the entry.
 */
final class RequestHandler implements TargetAttempt.Listener, GroupWait.Waiter {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int HTTP_OK = 200;
    private static final int MIN_SERVER_ERROR = 500;

    private final ProxyState state;
    private final HttpServerRequest request;
    private final RequestMetadata metadata;
    private final ClientResponse clientResponse;
    private final Consumer<RequestHandler> onEnd;
    private final long arrivedNanos;
    private final RequestLog log;
    private final ResponseTiming timing = new ResponseTiming();
    private final ExecutionTracker executions = new ExecutionTracker();
    private final Set<Target.Key> triedTargets = new HashSet<>();
    private final RequestSuspicion suspicion;
    private final FaultBoundary boundary = new FaultBoundary(this::onFault);
    private final CollectedBytes body;
    private @Nullable Route route;
    private @Nullable Organisation organisation;
    private String service = "";
    private boolean returned;
    private long deadlineNanos;
    private long deadlineTimer = -1;
    private @Nullable TargetAttempt currentAttempt;
    private @Nullable String lastEventId;
    private Runnable completionLog = () -> {};
    private boolean finished;
    private boolean ended;

    RequestHandler(
            ProxyState state,
            HttpServerRequest request,
            ClientConnection connection,
            RequestMetadata metadata,
            Consumer<RequestHandler> onEnd) {
        this.state = state;
        this.request = request;
        this.metadata = metadata;
        this.onEnd = onEnd;
        arrivedNanos = state.time.monotonicNanos();
        lastEventId = metadata.lastEventId();
        suspicion = new RequestSuspicion(state, this::computeFingerprint);
        log = new RequestLog(metadata.attemptId(), executions::sends, this::configVersion, this::elapsedMillis);
        body = new CollectedBytes(state.heldBytes.open(
                HeldBytes.Kind.REQUEST,
                () -> executions.sends() == 0,
                boundary.wrap("memory full", this::onMemoryFull)));
        clientResponse = new ClientResponse(
                request, connection, state.heldBytes, state::draining, boundary, this::onResponseEnded);
    }

    /** Returns the boundary within which all steps of this request run. */
    @Override
    public FaultBoundary boundary() {
        return boundary;
    }

    /** Returns the body, to which what is received of it is added. */
    CollectedBytes body() {
        return body;
    }

    /** Refuses the request because its body takes too much memory; it has not been sent to a target. */
    private void onMemoryFull() {
        int bodyBytes = body.length();
        body.release();
        reject(ErrorResponse.of(
                ResultCode.MEMORY_FULL,
                "body of " + bodyBytes + " bytes or more, with " + state.heldBytes.total() + " bytes kept in all",
                retryDelay(Reason.PROCESS_NOT_READY)));
    }

    /** Starts processing once the request has been received completely. */
    void start() {
        RoutingConfig config = state.config();
        if (config == null) {
            reject(ErrorResponse.of(
                    ResultCode.NO_TABLE, "no configuration received yet", retryDelay(Reason.PROCESS_NOT_READY)));
            return;
        }
        Route matchedRoute = config.route(host(), request.path());
        if (matchedRoute == null) {
            reject(ErrorResponse.of(ResultCode.UNKNOWN_PATH, "no route for " + host() + request.path(), Duration.ZERO));
            return;
        }
        if (config.apiKeysRequired() && !authenticate(config, matchedRoute)) {
            reject(ErrorResponse.of(ResultCode.UNKNOWN_KEY, "route " + matchedRoute.name(), Duration.ZERO));
            return;
        }
        route = matchedRoute;
        returned = state.groupWait.onArrival(matchedRoute, metadata.deadlineMillis());
        service = matchedRoute.selectService(state.random.getAsDouble());
        suspicion.onArrival(service, metadata.promptParts());
        state.retryBudget(service).onRequest();
        long allowedMillis = Math.min(metadata.deadlineOr(matchedRoute.timeoutMillis()), matchedRoute.timeoutMillis());
        deadlineNanos = arrivedNanos + allowedMillis * NANOS_PER_MILLI;
        deadlineTimer =
                state.vertx.setTimer(Math.max(1, allowedMillis), id -> boundary.run("deadline", this::onTimeout));
        sendToTarget(matchedRoute);
    }

    /** Ends the request because its client has disconnected; an attempt that must run at most once is not cancelled. */
    void onClientDisconnected() {
        if (finished) {
            onResponseEnded(ClientResponse.End.CUT);
            return;
        }
        TargetAttempt attempt = currentAttempt;
        log.callerLeft(attempt, metadata.promptParts());
        finish("caller left");
        end();
        if (attempt != null && !(route != null && route.kind() == RequestKind.AT_MOST_ONCE)) {
            abandon(attempt);
        }
    }

    /** Ends the request because the process is about to end. */
    void onDrainLimit() {
        if (finished) {
            log.notRead();
            return;
        }
        TargetAttempt attempt = currentAttempt;
        fail(ResultCode.DRAINING, "not complete at the drain limit", Reason.PROCESS_NOT_READY);
        if (attempt != null && !(route != null && route.kind() == RequestKind.AT_MOST_ONCE)) {
            abandon(attempt);
        }
    }

    /** Sends an error response; also used before {@link #start} for requests that exceed a limit. */
    void reject(ErrorResponse error) {
        if (finished) {
            return;
        }
        log.rejected(error);
        respondWithError("refused", error);
    }

    /** Refuses a request that is not certainly one, and what follows it on its connection. */
    void rejectMalformed(String violation) {
        clientResponse.closeAfterResponse();
        reject(ErrorResponse.of(ResultCode.MALFORMED_HTTP, violation, Duration.ZERO));
    }

    private void respondWithError(String outcome, ErrorResponse error) {
        state.metrics.countErrorResponse(error.code());
        finish(outcome);
        clientResponse.sendError(error);
    }

    private boolean authenticate(RoutingConfig config, Route matchedRoute) {
        String key = metadata.apiKey();
        organisation = key == null ? null : config.organisation(key);
        return organisation != null || matchedRoute.authenticationExempt();
    }

    private String host() {
        String host = request.getHeader("Host");
        return host == null ? "" : host;
    }

    private RequestFingerprint computeFingerprint() {
        String caller = organisation != null ? "organisation " + organisation.name() : "key " + metadata.apiKey();
        return RequestFingerprint.of(request.method().name(), host(), request.uri(), caller, body.toBytes());
    }

    /** Ends the request if targets crash under it; returns whether it has ended. */
    private boolean refuseIfCrashing() {
        if (!suspicion.isRefused(executions.sends())) {
            return false;
        }
        if (suspicion.isRefusedForParts(executions.sends())) {
            fail(
                    ResultCode.PROMPT_CRASHES_TARGETS,
                    "targets crashed as they began to respond to requests with parts " + suspicion.refusedParts(),
                    Reason.CRASHES_TARGETS);
        } else {
            fail(
                    ResultCode.CRASHES_TARGETS,
                    "targets crashed while they ran request "
                            + suspicion.fingerprint().value(),
                    Reason.CRASHES_TARGETS);
        }
        return true;
    }

    private void sendToTarget(Route matchedRoute) {
        if (refuseIfCrashing()) {
            return;
        }
        Target target = suspicion.selectTarget(service, triedTargets);
        if (target == null) {
            if (!waitForGroup()) {
                failWithoutTarget();
            }
            return;
        }
        var unused = state.connections
                .acquire(target, metadata.attemptId(), !matchedRoute.retryable())
                .onComplete(result -> {
                    if (result.failed()) {
                        boundary.run("connect failed", () -> onConnectFailed(matchedRoute, target, result.cause()));
                    } else if (!boundary.run("connected", () -> onConnected(matchedRoute, result.result()))) {
                        result.result().connection().close();
                    }
                });
    }

    private void failWithoutTarget() {
        Reason shortage = state.targetSelector.shortage(service);
        fail(
                ResultCode.NO_TARGET,
                (shortage == Reason.TARGETS_FULL ? "no free place or turn at any target" : "no available target")
                        + " of service " + service + ", " + triedTargets.size() + " tried",
                shortage);
    }

    /** Waits for a group of the service to open if one is forming; returns whether it waits. */
    private boolean waitForGroup() {
        Route matchedRoute = route;
        boolean waits = matchedRoute != null
                && !clientResponse.started()
                && state.groupWait.tryWait(
                        this,
                        new GroupWait.Request(
                                matchedRoute, service, returned, arrivedNanos, deadlineNanos, body.length()));
        if (waits) {
            log.waits(service);
        }
        return waits;
    }

    @Override
    public void onWaitEnded(HeldRequests.End end) {
        boundary.run("wait ended", () -> continueAfterWait(end));
    }

    private void continueAfterWait(HeldRequests.End end) {
        Route matchedRoute = route;
        if (finished || matchedRoute == null) {
            return;
        }
        log.waited(service, end);
        if (end != HeldRequests.End.OPEN) {
            failWithoutTarget();
        } else if (executions.sends() == 0 || state.retryBudget(service).tryAcquire()) {
            triedTargets.clear();
            sendToTarget(matchedRoute);
        } else {
            failWithoutTarget();
        }
    }

    private void onConnectFailed(Route matchedRoute, Target target, Throwable cause) {
        state.targetSelector.load(target).onUnreachable(state.time.monotonicNanos());
        triedTargets.add(target.key());
        log.targetUnreachable(target, cause);
        if (TargetConnectionPool.isRefused(cause)) {
            state.onConnectionRefused(target);
        }
        if (!finished) {
            sendToTarget(matchedRoute);
        }
    }

    private void onConnected(Route matchedRoute, TargetConnectionPool.Lease lease) {
        if (finished) {
            lease.connection().close();
            return;
        }
        if (refuseIfCrashing()) {
            lease.connection().close();
            return;
        }
        if (!state.targetSelector.tryBegin(lease.target())) {
            lease.connection().close();
            sendToTarget(matchedRoute);
            return;
        }
        triedTargets.add(lease.target().key());
        TargetAttempt attempt =
                new TargetAttempt(state, matchedRoute, lease, metadata.attemptId(), lastEventId, executions, this);
        currentAttempt = attempt;
        long remainingMillis = Math.max(1, (deadlineNanos - state.time.monotonicNanos()) / NANOS_PER_MILLI);
        String organisationName = organisation == null ? null : organisation.name();
        attempt.send(
                request,
                new ForwardingMetadata(lease.target(), organisationName, remainingMillis, lastEventId),
                body.toByteBuf());
    }

    private boolean mayRetry() {
        return route != null && executions.mayRetry(route.retryable(), route.maxAttempts());
    }

    /** Retries the request at another target; returns false if a retry is not allowed. */
    private boolean retry(String reason) {
        Route matchedRoute = route;
        if (matchedRoute == null || finished || !mayRetry() || suspicion.isRefused(executions.sends())) {
            return false;
        }
        if (!state.targetSelector.hasCandidate(service, triedTargets)
                || !state.retryBudget(service).tryAcquire()) {
            return false;
        }
        state.metrics.countRetry(reason);
        log.retried(reason, currentAttempt == null ? null : currentAttempt.target());
        sendToTarget(matchedRoute);
        return true;
    }

    /** Retries the request now or once a group is open; returns false if neither is possible. */
    private boolean retryOrWait(String reason) {
        return retry(reason) || (!finished && mayRetry() && waitForGroup());
    }

    /**
     * Ends the request without a response from a target: closes the connection if the response has already started,
     * otherwise sends an error response.
     */
    private void fail(ResultCode code, String detail, Reason reason) {
        if (finished) {
            return;
        }
        if (clientResponse.started()) {
            log.failed(code, detail);
            finish("broken");
            clientResponse.abort();
        } else if (executions.provenNotExecuted()) {
            ResultCode rejection = code.outcome() == Outcome.NOT_RUN ? code : ResultCode.TARGET_REFUSED;
            reject(ErrorResponse.of(rejection, detail, retryDelay(reason)));
        } else {
            ResultCode failure = code.outcome() == Outcome.NOT_RUN ? ResultCode.OUTCOME_UNKNOWN : code;
            log.failed(failure, detail);
            respondWithError("failed", ErrorResponse.of(failure, detail, Duration.ZERO));
        }
    }

    private Duration retryDelay(Reason reason) {
        long deadlineMillis = metadata.deadlineOr(route == null ? 0 : route.timeoutMillis());
        return state.retryAfterPolicy.retryDelay(reason, Duration.ofMillis(deadlineMillis - elapsedMillis()));
    }

    private void onTimeout() {
        deadlineTimer = -1;
        if (finished) {
            return;
        }
        TargetAttempt attempt = currentAttempt;
        fail(ResultCode.DEADLINE_PASSED, "no complete response within " + elapsedMillis() + " ms", Reason.TARGETS_FULL);
        if (attempt != null) {
            abandon(attempt);
        }
    }

    /** Cancels an attempt whose response is no longer wanted, which its target may owe because it has crashed. */
    private void abandon(TargetAttempt attempt) {
        if (attempt.isPending()) {
            suspicion.onResponseAbandoned(attempt);
            attempt.cancel();
        }
    }

    private void forwardResponse(Target target, ResponseHead head, ByteBuf responseBody) {
        if (finished) {
            return;
        }
        recordChunk();
        if (head.success()) {
            suspicion.onAnswered();
        }
        finish(head.success() ? "complete" : "target-failure");
        completionLog = () -> log.completed(service, target, head.status(), timing);
        clientResponse.sendResponse(head, responseBody);
    }

    /** Records the time to the first chunk of the response and the pauses between later ones. */
    private void recordChunk() {
        long nowMillis = elapsedMillis();
        long pauseMillis = timing.onChunk(nowMillis);
        if (pauseMillis < 0) {
            state.metrics.recordFirstByte(kindLabel(), nowMillis / MILLIS_PER_SECOND);
        } else if (route != null) {
            state.targetSelector.onPause(service, Duration.ofMillis(pauseMillis), route.pauseObjective());
        }
    }

    private String kindLabel() {
        return route == null ? "none" : route.kind().name().toLowerCase(Locale.ROOT);
    }

    private void finish(String outcome) {
        finished = true;
        state.groupWait.cancel(this);
        suspicion.release();
        if (deadlineTimer >= 0) {
            state.vertx.cancelTimer(deadlineTimer);
        }
        state.metrics.countResponse(kindLabel(), outcome);
    }

    private void onResponseEnded(ClientResponse.End responseEnd) {
        if (ended) {
            return;
        }
        try {
            if (responseEnd == ClientResponse.End.WRITTEN) {
                completionLog.run();
            } else {
                log.cut(clientResponse.started());
            }
        } finally {
            end();
        }
    }

    private void end() {
        if (!ended) {
            ended = true;
            try {
                body.endAccounting();
            } finally {
                onEnd.accept(this);
            }
        }
    }

    /**
     * Ends the request after one of its steps has thrown. Any part of its state may be half changed, so that each way of
     * ending it may throw as well, which must not keep the others from being tried.
     */
    private void onFault(String step, Throwable fault) {
        log.stepFailed(step, fault);
        state.metrics.countFailedStep();
        FaultBoundary ending = new FaultBoundary((part, further) -> log.stepFailed(part + " after a fault", further));
        if (!finished) {
            ending.run("finish", () -> finish("fault"));
        }
        TargetAttempt attempt = currentAttempt;
        if (attempt != null) {
            ending.run("cancel", attempt::cancel);
        }
        if (!ended && !ending.run("respond", () -> clientResponse.endAfterFault(faultResponse()))) {
            ending.run("close", () -> {
                var unused = request.connection().close();
            });
            ending.run("end", this::end);
        }
    }

    private ErrorResponse faultResponse() {
        ResultCode code = executions.provenNotExecuted() ? ResultCode.FAULT_NOT_RUN : ResultCode.OUTCOME_UNKNOWN;
        return ErrorResponse.of(code, "a step failed", Duration.ZERO);
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
        if (!clientResponse.started()) {
            clientResponse.startStream(head);
        }
        recordChunk();
        if (attempt.events() == TargetAttempt.EVENTS_WHEN_RESPONDING) {
            suspicion.onResponding();
        }
        if (event.id() != null) {
            lastEventId = event.id();
        }
        if (clientResponse.sendChunk(Buffer.buffer(event.bytes()))) {
            attempt.pause();
            clientResponse.onDrained(attempt::resume);
        }
    }

    @Override
    public void onStreamEnd(TargetAttempt attempt, ResponseHead head) {
        if (finished) {
            return;
        }
        if (!clientResponse.started()) {
            forwardResponse(attempt.target(), head, Unpooled.EMPTY_BUFFER);
            return;
        }
        if (attempt.events() == 0) {
            onResponseLost(attempt, "target " + attempt.target().instanceId() + " resumed the stream with no event");
            return;
        }
        suspicion.onAnswered();
        finish("complete");
        completionLog = () -> log.completed(service, attempt.target(), HTTP_OK, timing);
        clientResponse.endStream();
    }

    @Override
    public void onResponse(TargetAttempt attempt, ResponseHead head, ByteBuf responseBody) {
        if (clientResponse.started()) {
            onResponseLost(
                    attempt,
                    "target " + attempt.target().instanceId() + " resumed the stream with status " + head.status()
                            + " and no event stream");
            return;
        }
        forwardResponse(attempt.target(), head, responseBody);
    }

    @Override
    public void onNotExecuted(TargetAttempt attempt, ResponseHead head) {
        if (!retryOrWait("not-run")) {
            fail(
                    ResultCode.TARGET_REFUSED,
                    "target " + attempt.target().instanceId() + " rejected the request with status " + head.status(),
                    state.targetSelector.shortage(service));
        }
    }

    @Override
    public void onErrorResponse(TargetAttempt attempt, ResponseHead head, ByteBuf responseBody) {
        boolean forwardable = head.status() < MIN_SERVER_ERROR;
        if (clientResponse.started()) {
            String detail = "target " + attempt.target().instanceId() + " failed with status " + head.status();
            if (forwardable || !retry("broken")) {
                fail(ResultCode.STREAM_BROKEN, detail, Reason.TARGETS_FULL);
            }
        } else if (forwardable || !retry("target-failure")) {
            forwardResponse(attempt.target(), head, responseBody);
        }
    }

    @Override
    public void onConnectionLost(TargetAttempt attempt) {
        suspicion.onConnectionLost(attempt);
    }

    @Override
    public void onResponseLost(TargetAttempt attempt, String reason) {
        log.responseLost(attempt.target(), reason, attempt.events(), metadata.promptParts());
        var probe = suspicion.connectionLost() ? state.probe(attempt.target()) : null;
        if (probe != null && suspicion.isSuspected() && mayRetry()) {
            // Whether the target has ended decides whether another one may get the request.
            var unused = probe.onComplete(done -> boundary.run("probed", () -> retryLostResponse(reason)));
        } else {
            retryLostResponse(reason);
        }
    }

    @Override
    public void onForeignResponse(TargetAttempt attempt, String reason) {
        log.responseLost(attempt.target(), reason, attempt.events(), metadata.promptParts());
        retryLostResponse(reason);
    }

    private void retryLostResponse(String reason) {
        if (!retryOrWait("broken")) {
            fail(
                    clientResponse.started() ? ResultCode.STREAM_BROKEN : ResultCode.OUTCOME_UNKNOWN,
                    reason,
                    Reason.NO_TARGET_AVAILABLE);
        }
    }

    @Override
    public boolean onStalled(TargetAttempt attempt) {
        if (finished) {
            return false;
        }
        boolean stream = route != null && route.kind() == RequestKind.STREAM;
        boolean waitsWithOthers = state.targetSelector.letsRequestsWait(attempt.target())
                || !state.targetSelector.otherTargetsResponding(service, attempt.target());
        if (stream && waitsWithOthers) {
            return true;
        }
        attempt.load().onUnreachable(state.time.monotonicNanos());
        if (retry("silence")) {
            abandon(attempt);
        }
        return false;
    }
}
