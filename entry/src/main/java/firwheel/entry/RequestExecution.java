package firwheel.entry;

import firwheel.admission.AttemptLifecycle;
import firwheel.admission.Claim;
import firwheel.admission.ClaimOutcome;
import firwheel.admission.ClaimRequest;
import firwheel.admission.FenceOutcome;
import firwheel.admission.LifecycleAction;
import firwheel.admission.RecordedResponse;
import firwheel.admission.RequestTraits;
import firwheel.admission.ResponseHead;
import firwheel.admission.StreamChunk;
import firwheel.admission.StreamIntegrity;
import firwheel.model.AttemptId;
import firwheel.model.FaultBoundary;
import firwheel.model.FirwheelException;
import firwheel.model.Outcome;
import firwheel.model.RankKey;
import firwheel.model.ResultCode;
import firwheel.model.TargetKind;
import firwheel.routing.PrefixHasher;
import firwheel.routing.RouteDecision;
import firwheel.routing.RouteRequest;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * Executes one caller's request: reports events to its {@link AttemptLifecycle} and performs the actions that the
 * lifecycle returns. Used on the entry's event loop only.
 */
final class RequestExecution implements AttemptExchange.AttemptListener {
    private static final Set<ResultCode> UNAVAILABLE_CODES =
            Set.of(ResultCode.DRAINING, ResultCode.ROW_NOT_SERVING, ResultCode.TARGET_UNREACHABLE);

    private final CallerRequest request;
    private final ResponseWriter responseWriter;
    private final ResponseForwarder responseForwarder;
    private final RequestContext context;
    private final Runnable onFinished;
    private final boolean idempotent;
    private final long deadlineMillis;
    private final AttemptLifecycle lifecycle;
    private final FaultBoundary boundary = new FaultBoundary(this::onFault);
    private final List<Long> prefixHashes;
    private final Set<RankKey> excluded = new HashSet<>();
    private long deadlineTimer;
    private @Nullable AttemptExchange exchange;
    private @Nullable Claim claim;

    RequestExecution(
            CallerRequest request, ResponseWriter responseWriter, RequestContext context, Runnable onFinished) {
        this.request = request;
        this.responseWriter = responseWriter;
        this.context = context;
        this.onFinished = onFinished;
        responseForwarder = new ResponseForwarder(responseWriter, request.streaming());
        idempotent = request.safeMethod() || context.router().isIdempotent(request.kind(), request.servedName());
        prefixHashes = request.kind() == TargetKind.MODEL ? PrefixHasher.hash(request.body()) : List.of();
        deadlineMillis = nowMillis() + request.deadline().toMillis();
        lifecycle = new AttemptLifecycle(
                new RequestTraits(idempotent, false, deadlineMillis),
                this::tryAcquireRetry,
                () -> AttemptId.random(context.random()));
    }

    /** Claims the idempotency key if the request has one and is not idempotent, then starts the first attempt. */
    void start() {
        boundary.run("start", this::claimAndDispatch);
    }

    private void claimAndDispatch() {
        responseWriter.onCallerDisconnected(boundary.wrap("caller disconnected", this::onCallerDisconnected));
        deadlineTimer = context.vertx()
                .setTimer(
                        Math.max(1, request.deadline().toMillis()),
                        timer -> boundary.run("deadline", () -> perform(lifecycle.onDeadline())));
        if (idempotent || request.idempotencyKey().isEmpty()) {
            perform(lifecycle.start(nowMillis()));
            return;
        }
        var unused = context.claims()
                .claim(claimRequest())
                .thenAccept(outcome -> boundary.run("claimed", () -> onClaimOutcome(outcome)));
    }

    /** Fails the request because this process is shutting down. */
    void abort() {
        boundary.run("shutdown", () -> perform(lifecycle.onShutdown()));
    }

    @Override
    public FaultBoundary boundary() {
        return boundary;
    }

    /** Ends the request after one of its steps has thrown, which may have left any of its state half changed. */
    private void onFault(String step, Throwable fault) {
        responseWriter.logFault(step, fault);
        FaultBoundary ending =
                new FaultBoundary((part, further) -> responseWriter.logFault(part + " after a fault", further));
        ending.run("end attempts", lifecycle::onCallerDisconnected);
        ending.run("cancel", this::cancelExchange);
        ResultCode code = exchange == null ? ResultCode.FAULT_NOT_RUN : ResultCode.OUTCOME_UNKNOWN;
        ending.run("respond", () -> responseWriter.endAfterFault(failure(code, Duration.ZERO)));
        ending.run("finish", () -> finish(settleClaim(code)));
    }

    @Override
    public void onRefused(AttemptExchange source, ResultCode code, Duration retryAfter) {
        excluded.add(source.key());
        source.close();
        if (UNAVAILABLE_CODES.contains(code)) {
            context.router().onUnavailable(source.key());
        }
        perform(lifecycle.onRefused(source.id(), code, retryAfter, nowMillis()));
    }

    @Override
    public void onHead(ResponseHead head) {
        responseForwarder.onHead(head);
    }

    @Override
    public void onChunk(AttemptExchange source, StreamChunk chunk) {
        context.router().onProgress(source.key());
        boolean forwardedToCaller = responseForwarder.onChunk(chunk.payload());
        lifecycle.onChunk(source.id(), forwardedToCaller);
        if (responseForwarder.isTooLarge()) {
            source.cancel();
            perform(lifecycle.onResponseTooLarge(source.id()));
        } else {
            source.grantCredit(responseWriter);
        }
    }

    @Override
    public void onEnd(AttemptExchange source, StreamIntegrity integrity) {
        perform(lifecycle.onEnd(source.id(), integrity, nowMillis()));
    }

    @Override
    public void onFailed(AttemptExchange source, ResultCode code) {
        excluded.add(source.key());
        source.close();
        perform(lifecycle.onFailed(source.id(), code, nowMillis()));
    }

    @Override
    public void onFenceOutcome(AttemptExchange source, FenceOutcome outcome) {
        excluded.add(source.key());
        perform(lifecycle.onFenceOutcome(source.id(), outcome, nowMillis()));
    }

    @Override
    public void onFenceTimeout(AttemptExchange source) {
        excluded.add(source.key());
        perform(lifecycle.onFenceTimeout(source.id(), nowMillis()));
    }

    @Override
    public void onDisconnected(AttemptExchange source) {
        context.router().onUnavailable(source.key());
        perform(lifecycle.onLinkLost(source.id(), nowMillis()));
    }

    /** Cancels the request, unless its key is claimed: then it continues, so that a repeat gets the recorded response. */
    private void onCallerDisconnected() {
        boolean keyClaimed = !idempotent && !request.idempotencyKey().isEmpty();
        if (!keyClaimed && !lifecycle.isEnded()) {
            lifecycle.onCallerDisconnected();
            cancelExchange();
            finish(CompletableFuture.completedFuture(true));
        }
    }

    private void onClaimOutcome(ClaimOutcome outcome) {
        if (outcome instanceof ClaimOutcome.Claimed claimedOutcome) {
            claim = claimedOutcome.claim();
            if (lifecycle.isEnded()) {
                var unused = context.claims().release(claimedOutcome.claim());
            } else {
                perform(lifecycle.start(nowMillis()));
            }
        } else if (!lifecycle.isEnded()) {
            lifecycle.onCallerDisconnected();
            respondFromClaim(outcome);
            finish(CompletableFuture.completedFuture(true));
        }
    }

    private void respondFromClaim(ClaimOutcome outcome) {
        if (outcome instanceof ClaimOutcome.Recorded recorded) {
            RecordedResponse response = recorded.response();
            responseWriter.send(response.status(), response.contentType(), Buffer.buffer(response.body()));
        } else if (outcome instanceof ClaimOutcome.Refused refused) {
            responseWriter.fail(failure(refused.code(), refused.retryAfter()));
        }
    }

    private void perform(LifecycleAction action) {
        AttemptExchange current = exchange;
        if (action instanceof LifecycleAction.Dispatch dispatch) {
            chooseTarget(dispatch.attempt());
        } else if (action instanceof LifecycleAction.Fence && current != null) {
            current.fence();
        } else if (action instanceof LifecycleAction.Resume resume && current != null) {
            current.resume(resume.fromSequence());
        } else if (action instanceof LifecycleAction.Complete && current != null) {
            current.acknowledgeResponse();
            complete(current);
        } else if (action instanceof LifecycleAction.Fail fail) {
            cancelExchange();
            responseWriter.fail(failure(fail.code(), fail.retryAfter()));
            finish(settleClaim(fail.code()));
        }
    }

    private void chooseTarget(AttemptId attempt) {
        responseForwarder.startAttempt();
        RouteDecision decision = context.router().choose(routeRequest(), context.links());
        if (decision instanceof RouteDecision.Refused refused) {
            perform(lifecycle.onNoTarget(attempt, refused.code(), refused.retryAfter()));
        } else if (decision instanceof RouteDecision.Chosen chosen) {
            connect(attempt, chosen);
        }
    }

    private void connect(AttemptId attempt, RouteDecision.Chosen chosen) {
        if (exchange != null) {
            exchange.close();
        }
        AttemptExchange newExchange = new AttemptExchange(attempt, chosen.key(), chosen.address(), context, this);
        exchange = newExchange;
        var unused = context.links()
                .link(chosen.address())
                .whenComplete((link, error) -> boundary.run(
                        "connected", () -> onConnected(attempt, chosen, newExchange, error == null ? link : null)));
    }

    private void onConnected(
            AttemptId attempt, RouteDecision.Chosen chosen, AttemptExchange newExchange, @Nullable AgentLink link) {
        if (lifecycle.isEnded()) {
            return;
        }
        if (link != null && nowMillis() < deadlineMillis) {
            newExchange.dispatch(link, request, idempotent, deadlineMillis);
            return;
        }
        excluded.add(chosen.key());
        if (link == null) {
            context.router().onUnavailable(chosen.key());
        }
        perform(lifecycle.onNotSent(attempt, nowMillis()));
    }

    private void complete(AttemptExchange completedExchange) {
        context.router().onSuccess(completedExchange.key());
        responseForwarder.complete();
        Claim activeClaim = claim;
        finish(
                activeClaim == null
                        ? CompletableFuture.completedFuture(true)
                        : context.claims().complete(activeClaim, responseForwarder.recordedResponse()));
    }

    private CompletableFuture<Boolean> settleClaim(ResultCode code) {
        Claim activeClaim = claim;
        if (activeClaim == null) {
            return CompletableFuture.completedFuture(true);
        }
        return code.outcome() == Outcome.NOT_RUN
                ? context.claims().release(activeClaim)
                : context.claims().markUnresolved(activeClaim);
    }

    /** Ends the request. It counts as open until its response is written and its claim is settled. */
    private void finish(CompletableFuture<Boolean> claimSettled) {
        context.vertx().cancelTimer(deadlineTimer);
        var unused = CompletableFuture.allOf(claimSettled, responseWriter.written())
                .whenComplete((done, e) -> onFinished.run());
    }

    private void cancelExchange() {
        if (exchange != null) {
            exchange.cancel();
        }
    }

    private RouteRequest routeRequest() {
        return new RouteRequest(
                request.kind(),
                request.servedName(),
                request.organisation(),
                request.priority(),
                prefixHashes,
                request.estimatedTokens(),
                excluded);
    }

    private ClaimRequest claimRequest() {
        return new ClaimRequest(
                request.organisation(),
                request.servedName(),
                request.idempotencyKey(),
                RequestDigest.of(request),
                context.time().now().plus(request.deadline()));
    }

    private boolean tryAcquireRetry() {
        return exchange == null || context.router().tryAcquireRetry(exchange.key());
    }

    private static FirwheelException failure(ResultCode code, Duration retryAfter) {
        return new FirwheelException(code, code.summary(), retryAfter);
    }

    private long nowMillis() {
        return context.time().monotonicMillis();
    }
}
