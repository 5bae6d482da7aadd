package firwheel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.FirwheelException;
import firwheel.model.ManualTimeSource;
import firwheel.model.ResultCode;
import firwheel.standin.InMemoryTableService;
import firwheel.store.CommitResult;
import firwheel.store.StoredRow;
import firwheel.store.TableService;
import firwheel.store.Transaction;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ClaimServiceTest {
    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final DeferredCommitStore store = new DeferredCommitStore();
    private final ArrayDeque<Runnable> delayed = new ArrayDeque<>();
    private int nextToken;
    private final ClaimService claims = service();
    private final ClaimService otherEntry = service();

    @Nested
    final class GroupCommit {
        @Test
        void groupsClaimsWhileATransactionIsInFlight() {
            List<CompletableFuture<ClaimOutcome>> outcomes = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                outcomes.add(claims.claim(request("k" + i, "d")));
            }
            store.releaseAll();
            assertThat(outcomes)
                    .allSatisfy(outcome -> assertThat(outcome.join()).isInstanceOf(ClaimOutcome.Claimed.class));
            assertThat(store.transactions).isEqualTo(2);
        }

        @Test
        void conflictOfOneClaimDoesNotFailTheOthers() {
            CompletableFuture<ClaimOutcome> earlier = otherEntry.claim(request("taken", "d"));
            store.releaseAll();
            assertThat(earlier.join()).isInstanceOf(ClaimOutcome.Claimed.class);
            CompletableFuture<ClaimOutcome> first = claims.claim(request("a", "d"));
            CompletableFuture<ClaimOutcome> taken = claims.claim(request("taken", "d"));
            CompletableFuture<ClaimOutcome> free = claims.claim(request("b", "d"));
            store.releaseAll();
            assertThat(first.join()).isInstanceOf(ClaimOutcome.Claimed.class);
            assertThat(free.join()).isInstanceOf(ClaimOutcome.Claimed.class);
            assertThat(codeOf(taken)).isEqualTo(ResultCode.IN_PROGRESS);
        }
    }

    @Nested
    final class Repeats {
        @Test
        void getTheRecordedResponse() {
            Claim claim = claimed("k");
            var unused = claims.complete(claim, new RecordedResponse(201, "text/plain", new byte[] {1, 2}));
            store.releaseAll();
            ClaimOutcome.Recorded recorded = (ClaimOutcome.Recorded) repeat("k", "d");
            assertThat(recorded.response().status()).isEqualTo(201);
            assertThat(recorded.response().body()).containsExactly(1, 2);
        }

        /** An earlier build may have recorded it. */
        @Test
        void doNotGetARecordedResponseWithoutAFinalStatus() {
            var unused = claims.complete(claimed("k"), new RecordedResponse(0, "text/plain", new byte[] {1, 2}));
            store.releaseAll();
            assertThat(code(repeat("k", "d"))).isEqualTo(ResultCode.ANSWER_NOT_KEPT);
        }

        @Test
        void areRefusedIfTheBodyDiffers() {
            claimed("k");
            assertThat(code(repeat("k", "other"))).isEqualTo(ResultCode.KEY_REUSED);
        }

        @Test
        void neverTakeOverAnExpiredClaim() {
            claimed("k");
            assertThat(code(repeat("k", "d"))).isEqualTo(ResultCode.IN_PROGRESS);
            time.advance(Duration.ofDays(30));
            assertThat(code(repeat("k", "d"))).isEqualTo(ResultCode.CLAIM_UNRESOLVED);
        }

        @Test
        void canClaimAReleasedKey() {
            var unused = claims.release(claimed("k"));
            store.releaseAll();
            assertThat(repeat("k", "d")).isInstanceOf(ClaimOutcome.Claimed.class);
        }

        @Test
        void areRefusedIfTheResponseWasTooLargeToRecord() {
            byte[] large = new byte[ClaimService.MAX_RECORDED_BYTES + 1];
            var unused = claims.complete(claimed("k"), new RecordedResponse(200, "text/plain", large));
            store.releaseAll();
            assertThat(code(repeat("k", "d"))).isEqualTo(ResultCode.ANSWER_NOT_KEPT);
        }
    }

    @Nested
    final class StoreFaults {
        @Test
        void lostResponseIsResolvedByReadingBack() {
            store.loseNextResponse = true;
            assertThat(repeat("k", "d")).isInstanceOf(ClaimOutcome.Claimed.class);
        }

        @Test
        void unavailableStoreRefusesAsNotRun() {
            store.down = true;
            ClaimOutcome.Refused refused = (ClaimOutcome.Refused) repeat("k", "d");
            assertThat(refused.code()).isEqualTo(ResultCode.CLAIM_STORE_DOWN);
            assertThat(refused.retryAfter()).isPositive();
        }

        @Test
        void claimWrittenBeforeTheStoreBecameUnavailableIsReleasedLater() {
            store.loseNextResponse = true;
            CompletableFuture<ClaimOutcome> outcome = claims.claim(request("k", "d"));
            store.down = true;
            store.releaseAll();
            for (int i = 0; !outcome.isDone() && i < 10; i++) {
                delayed.remove().run();
            }
            assertThat(codeOf(outcome)).isEqualTo(ResultCode.CLAIM_STORE_DOWN);
            store.down = false;
            delayed.remove().run();
            store.releaseAll();
            assertThat(repeat("k", "d")).isInstanceOf(ClaimOutcome.Claimed.class);
        }
    }

    private ClaimService service() {
        return new ClaimService(
                store, Runnable::run, (delay, task) -> delayed.add(task), () -> "token" + nextToken++, time);
    }

    private Claim claimed(String key) {
        CompletableFuture<ClaimOutcome> outcome = claims.claim(request(key, "d"));
        store.releaseAll();
        return ((ClaimOutcome.Claimed) outcome.join()).claim();
    }

    private ClaimOutcome repeat(String key, String digest) {
        CompletableFuture<ClaimOutcome> outcome = otherEntry.claim(request(key, digest));
        store.releaseAll();
        return outcome.join();
    }

    private static ResultCode codeOf(CompletableFuture<ClaimOutcome> outcome) {
        return code(outcome.join());
    }

    private static ResultCode code(ClaimOutcome outcome) {
        return ((ClaimOutcome.Refused) outcome).code();
    }

    private ClaimRequest request(String key, String digest) {
        return new ClaimRequest("org", "orders", key, digest, time.now().plusSeconds(10));
    }

    /** Table service whose commits are deferred until they are released. */
    private static final class DeferredCommitStore implements TableService {
        private final InMemoryTableService rows = new InMemoryTableService();
        private final ArrayDeque<Runnable> deferredCommits = new ArrayDeque<>();
        private int transactions;
        private boolean loseNextResponse;
        private boolean down;

        void releaseAll() {
            while (!deferredCommits.isEmpty()) {
                deferredCommits.remove().run();
            }
        }

        @Override
        public CompletableFuture<List<StoredRow>> read(List<String> keys) {
            return down ? failed(ResultCode.PLATFORM_UNREACHABLE) : rows.read(keys);
        }

        @Override
        public CompletableFuture<List<StoredRow>> scan(String prefix, String afterKey, int limit) {
            return rows.scan(prefix, afterKey, limit);
        }

        @Override
        public CompletableFuture<CommitResult> commit(Transaction transaction) {
            if (down) {
                return failed(ResultCode.PLATFORM_UNREACHABLE);
            }
            transactions++;
            CompletableFuture<CommitResult> response = new CompletableFuture<>();
            boolean lose = loseNextResponse;
            loseNextResponse = false;
            deferredCommits.add(() -> {
                CommitResult result = rows.commit(transaction).join();
                if (lose) {
                    response.completeExceptionally(
                            new FirwheelException(ResultCode.PLATFORM_UNKNOWN, "commit response lost"));
                } else {
                    response.complete(result);
                }
            });
            return response;
        }

        private static <T> CompletableFuture<T> failed(ResultCode code) {
            return CompletableFuture.failedFuture(new FirwheelException(code, "table service unavailable"));
        }
    }
}
