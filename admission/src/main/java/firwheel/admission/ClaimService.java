package firwheel.admission;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.model.TimeSource;
import firwheel.store.StoredRow;
import firwheel.store.TableService;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Claims idempotency keys in the platform's table, so that only one of all entries dispatches a request. A claim never
 * expires. If the response to a write is lost, the row is read back and its token shows whether the claim was written.
 * All calls and callbacks run on one executor.
 */
public final class ClaimService {
    /** Maximum size of a response body that is recorded for repeats, in bytes. */
    public static final int MAX_RECORDED_BYTES = 16 << 10;

    private static final int MAX_TRIES = 4;
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final TableService table;
    private final GroupCommitter committer;
    private final Executor executor;
    private final TaskScheduler scheduler;
    private final Supplier<String> tokens;
    private final TimeSource time;

    /** Creates a service; {@code tokens} must return tokens that are unique across all processes. */
    public ClaimService(
            TableService table, Executor executor, TaskScheduler scheduler, Supplier<String> tokens, TimeSource time) {
        this.table = table;
        this.committer = new GroupCommitter(table, executor);
        this.executor = executor;
        this.scheduler = scheduler;
        this.tokens = tokens;
        this.time = time;
    }

    /** Claims the key of a request. The future never fails; an unavailable store is reported as a refusal. */
    public CompletableFuture<ClaimOutcome> claim(ClaimRequest request) {
        Claim claim = new Claim(rowKey(request), tokens.get(), request);
        CompletableFuture<ClaimOutcome> outcome = new CompletableFuture<>();
        insert(claim, outcome, 0);
        return outcome;
    }

    /**
     * Marks a request as completed and records its response for repeats. A response that is null or larger than {@link
     * #MAX_RECORDED_BYTES} is not recorded.
     */
    public CompletableFuture<Boolean> complete(Claim claim, @Nullable RecordedResponse response) {
        RecordedResponse recordedResponse =
                response != null && response.body().length <= MAX_RECORDED_BYTES ? response : null;
        return updateIfOpen(
                claim,
                claimRow(claim, ClaimRow.State.COMPLETED, recordedResponse).toJson());
    }

    /** Marks a request whose outcome is unknown or which failed after it ran. */
    public CompletableFuture<Boolean> markUnresolved(Claim claim) {
        return updateIfOpen(
                claim, claimRow(claim, ClaimRow.State.UNRESOLVED, null).toJson());
    }

    /** Deletes the claim of a request that provably did not run, so that the key can be used again. */
    public CompletableFuture<Boolean> release(Claim claim) {
        return updateIfOpen(claim, null);
    }

    private void insert(Claim claim, CompletableFuture<ClaimOutcome> outcome, int tries) {
        String open = claimRow(claim, ClaimRow.State.OPEN, null).toJson();
        CompletableFuture<?> unused = committer.submit(claim.rowKey(), 0, open).whenComplete((result, error) -> {
            if (result instanceof WriteOutcome.Applied) {
                outcome.complete(new ClaimOutcome.Claimed(claim));
            } else if (result instanceof WriteOutcome.Conflicted conflicted) {
                resolveConflict(claim, conflicted.storedRow(), outcome);
            } else if (tries == 0 && error != null && definitelyNotWritten(error)) {
                outcome.complete(storeUnavailable());
            } else {
                readBack(claim, outcome, tries + 1);
            }
        });
    }

    /**
     * Reads the row to learn whether the claim was written, and writes it again if the row is absent. A second write is
     * harmless because it carries the same token, whichever of the two writes is applied first.
     */
    private void readBack(Claim claim, CompletableFuture<ClaimOutcome> outcome, int tries) {
        if (tries > MAX_TRIES) {
            outcome.complete(storeUnavailable());
            retryLater(() -> updateIfOpen(claim, null, new CompletableFuture<>(), 1));
            return;
        }
        CompletableFuture<?> unused = table.read(List.of(claim.rowKey()))
                .whenCompleteAsync(
                        (rows, error) -> {
                            if (rows == null) {
                                retryLater(() -> readBack(claim, outcome, tries + 1));
                            } else if (rows.isEmpty()) {
                                insert(claim, outcome, tries);
                            } else {
                                resolveConflict(claim, rows.get(0), outcome);
                            }
                        },
                        executor);
    }

    private void resolveConflict(Claim claim, StoredRow stored, CompletableFuture<ClaimOutcome> outcome) {
        try {
            outcome.complete(outcomeOf(claim, ClaimRow.parse(stored.value())));
        } catch (FirwheelException e) {
            outcome.complete(new ClaimOutcome.Refused(ResultCode.CLAIM_UNRESOLVED, Duration.ZERO));
        }
    }

    private ClaimOutcome outcomeOf(Claim claim, ClaimRow stored) {
        if (stored.token().equals(claim.token())) {
            return new ClaimOutcome.Claimed(claim);
        }
        if (!stored.digest().equals(claim.request().bodyDigest())) {
            return new ClaimOutcome.Refused(ResultCode.KEY_REUSED, Duration.ZERO);
        }
        return switch (stored.state()) {
            case OPEN -> openClaimOutcome(stored);
            case UNRESOLVED -> new ClaimOutcome.Refused(ResultCode.CLAIM_UNRESOLVED, Duration.ZERO);
            case COMPLETED -> completedClaimOutcome(stored.answer());
        };
    }

    private ClaimOutcome openClaimOutcome(ClaimRow stored) {
        boolean beforeDeadline = time.now().toEpochMilli() < stored.deadlineEpochMillis();
        return beforeDeadline
                ? new ClaimOutcome.Refused(ResultCode.IN_PROGRESS, RETRY_AFTER)
                : new ClaimOutcome.Refused(ResultCode.CLAIM_UNRESOLVED, Duration.ZERO);
    }

    private static ClaimOutcome completedClaimOutcome(@Nullable RecordedResponse response) {
        return response == null || !ResponseHead.isFinal(response.status())
                ? new ClaimOutcome.Refused(ResultCode.ANSWER_NOT_KEPT, Duration.ZERO)
                : new ClaimOutcome.Recorded(response);
    }

    /**
     * Replaces the row, or deletes it if {@code value} is null, provided that it holds the claim's token and is open.
     * The result is whether the row has the new value.
     */
    private CompletableFuture<Boolean> updateIfOpen(Claim claim, @Nullable String value) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        updateIfOpen(claim, value, done, 1);
        return done;
    }

    private void updateIfOpen(Claim claim, @Nullable String value, CompletableFuture<Boolean> done, int tries) {
        if (tries > MAX_TRIES) {
            done.complete(false);
            return;
        }
        Runnable retry = () -> retryLater(() -> updateIfOpen(claim, value, done, tries + 1));
        CompletableFuture<?> unused = table.read(List.of(claim.rowKey()))
                .whenCompleteAsync(
                        (rows, error) -> {
                            if (rows == null) {
                                retry.run();
                            } else if (rows.isEmpty()) {
                                done.complete(value == null);
                            } else if (rows.get(0).value().equals(value)) {
                                done.complete(true);
                            } else if (isOpenClaim(rows.get(0), claim)) {
                                replace(rows.get(0), value, done, retry);
                            } else {
                                done.complete(false);
                            }
                        },
                        executor);
    }

    private void replace(StoredRow row, @Nullable String value, CompletableFuture<Boolean> done, Runnable retry) {
        CompletableFuture<?> unused = committer
                .submit(row.key(), row.version(), value)
                .whenComplete((result, error) -> {
                    if (result instanceof WriteOutcome.Applied) {
                        done.complete(true);
                    } else {
                        retry.run();
                    }
                });
    }

    private static boolean isOpenClaim(StoredRow row, Claim claim) {
        try {
            ClaimRow stored = ClaimRow.parse(row.value());
            return stored.token().equals(claim.token()) && stored.state() == ClaimRow.State.OPEN;
        } catch (FirwheelException e) {
            return false;
        }
    }

    private void retryLater(Runnable task) {
        scheduler.schedule(RETRY_DELAY, task);
    }

    private static boolean definitelyNotWritten(Throwable error) {
        ResultCode code = FirwheelException.of(error).code();
        return code == ResultCode.PLATFORM_UNREACHABLE || code == ResultCode.PLATFORM_RATE_LIMITED;
    }

    private static ClaimOutcome storeUnavailable() {
        return new ClaimOutcome.Refused(ResultCode.CLAIM_STORE_DOWN, RETRY_AFTER);
    }

    private static ClaimRow claimRow(Claim claim, ClaimRow.State state, @Nullable RecordedResponse response) {
        ClaimRequest request = claim.request();
        return new ClaimRow(
                claim.token(), request.bodyDigest(), state, request.deadline().toEpochMilli(), response);
    }

    private static String rowKey(ClaimRequest request) {
        String name = request.organisation() + "\n" + request.service() + "\n" + request.key();
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
            return "claims/" + HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
