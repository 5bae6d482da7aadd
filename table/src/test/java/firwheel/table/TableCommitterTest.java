package firwheel.table;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetRow;
import firwheel.standin.FaultyTableService;
import firwheel.standin.FaultyTableService.Faults;
import firwheel.standin.InMemoryTableService;
import firwheel.standin.VirtualTime;
import firwheel.store.Transaction;
import firwheel.store.Write;
import firwheel.table.ApplyResult.Status;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TableCommitterTest {
    private static final TargetRow A = TestRows.row("a", 1);
    private static final TargetRow B = TestRows.row("b", 2);

    private final VirtualTime time = new VirtualTime();
    private final InMemoryTableService store = new InMemoryTableService();
    private final FaultyTableService service = new FaultyTableService(store, time, time, 1);
    private final TableCommitter committer = new TableCommitter(service, time, time);
    private final TableReader reader = new TableReader(store);

    private ApplyResult apply(TableSnapshot base, TableSnapshot edited, String author, String changeId) {
        return await(committer.apply(base, edited, author, "because", changeId));
    }

    private <T> T await(CompletableFuture<T> future) {
        time.runFor(Duration.ofMinutes(1));
        return future.join();
    }

    private TableSnapshot seed() {
        assertThat(apply(TableSnapshot.EMPTY, TestRows.table(0, A, B), "ann", "seed")
                        .status())
                .isEqualTo(Status.APPLIED);
        return reader.read().join();
    }

    @Test
    void changeAndAuditRecordAreWrittenTogether() {
        TableSnapshot base = seed();
        apply(base, TestRows.table(1, TestRows.withWeight(A, 3), B), "ann", "c1");
        assertThat(reader.read().join()).isEqualTo(TestRows.table(2, TestRows.withWeight(A, 3), B));
        List<String> lines =
                AuditTrail.formatLines(AuditTrail.readChanges(store, 1).join().get(0));
        assertThat(lines.get(0)).contains("revision 2", "ann", "because", "2026-01-01T00:01");
        assertThat(lines.get(2)).isEqualTo("    weight: '1.5' -> '3'");
        assertThat(reader.readAtRevision(1).join()).isEqualTo(base);
    }

    @Nested
    final class ConcurrentEdits {
        @Test
        void ofDifferentRowsAreMerged() {
            TableSnapshot base = seed();
            CompletableFuture<ApplyResult> ann =
                    committer.apply(base, TestRows.table(1, TestRows.withWeight(A, 3), B), "ann", "x", "c1");
            CompletableFuture<ApplyResult> bob =
                    committer.apply(base, TestRows.table(1, A, TestRows.withWeight(B, 4)), "bob", "y", "c2");
            assertThat(List.of(await(ann).status(), await(bob).status())).containsOnly(Status.APPLIED);
            assertThat(reader.read().join())
                    .isEqualTo(TestRows.table(3, TestRows.withWeight(A, 3), TestRows.withWeight(B, 4)));
        }

        @Test
        void ofSameRowConflictAndReportBothVersions() {
            TableSnapshot base = seed();
            apply(base, TestRows.table(1, TestRows.withWeight(A, 3), B), "ann", "c1");
            ApplyResult bob =
                    apply(base, TestRows.table(1, TestRows.withWeight(A, 4), TestRows.withWeight(B, 9)), "bob", "c2");
            assertThat(bob.status()).isEqualTo(Status.CONFLICT);
            assertThat(AuditTrail.formatLines(bob.conflicts().get(0)))
                    .anyMatch(line -> line.contains("by ann"))
                    .contains("    weight: '1.5' -> '3'", "    weight: '1.5' -> '4'");
            assertThat(reader.read().join().revision()).isEqualTo(2);
        }

        @Test
        void thatDuplicateAnAddressAreRefused() {
            TableSnapshot base = seed();
            TargetRow c = TestRows.row("c", 3);
            TargetRow sameAddresses = TestRows.row("d", 3);
            apply(base, TestRows.table(1, A, B, c), "ann", "c1");
            ApplyResult bob = apply(base, TestRows.table(1, A, B, sameAddresses), "bob", "c2");
            assertThat(bob.status()).isEqualTo(Status.REFUSED);
            assertThat(bob.problems()).hasSize(2);
        }
    }

    @Test
    void lastServingRowOfModelIsKept() {
        TableSnapshot base = seed();
        TableSnapshot leaving = TestRows.table(1, A.withState(RowState.LEAVING), B.withState(RowState.LEAVING));
        assertThat(apply(base, leaving, "ann", "c1").problems()).hasSize(2);
        TableValidator.Options allow = new TableValidator.Options(true);
        assertThat(await(committer.apply(base, leaving, "ann", "x", "c2", allow))
                        .status())
                .isEqualTo(Status.APPLIED);
    }

    @Nested
    final class LostResponses {
        @Test
        void areResolvedByChangeId() {
            TableSnapshot base = seed();
            service.setFaults(Faults.withLostAnswers(1));
            ApplyResult result = apply(base, TestRows.table(1, TestRows.withWeight(A, 3), B), "ann", "c1");
            assertThat(result).isEqualTo(ApplyResult.of(Status.ALREADY_APPLIED, 2));
            service.setFaults(Faults.NONE);
            assertThat(apply(base, TestRows.table(1, TestRows.withWeight(A, 3), B), "ann", "c1"))
                    .isEqualTo(result);
            assertThat(reader.read().join().revision()).isEqualTo(2);
        }

        @Test
        void neitherDuplicateNorLoseChangesOfConcurrentWriters() {
            for (int seed = 0; seed < 50; seed++) {
                VirtualTime virtual = new VirtualTime();
                InMemoryTableService rows = new InMemoryTableService();
                FaultyTableService faulty = new FaultyTableService(rows, virtual, virtual, seed);
                faulty.setFaults(
                        new Faults(false, Duration.ofMillis(3), 0.2, Duration.ofMillis(400), 0.4, 0.1, 1_000, 1_000));
                List<CompletableFuture<ApplyResult>> results = new ArrayList<>();
                for (int i = 0; i < 6; i++) {
                    TableSnapshot edited = TestRows.table(0, TestRows.row("r" + i, i + 1));
                    results.add(new TableCommitter(faulty, virtual, virtual)
                            .apply(TableSnapshot.EMPTY, edited, "op" + i, "x", "c" + i));
                }
                virtual.runFor(Duration.ofMinutes(2));
                long accepted = results.stream()
                        .filter(result -> !result.isCompletedExceptionally())
                        .count();
                TableSnapshot table = new TableReader(rows).read().join();
                assertThat(table.rows().size()).isEqualTo((int) table.revision());
                assertThat(table.revision()).isGreaterThanOrEqualTo(accepted).isLessThanOrEqualTo(6);
                assertThat(results).as("seed %d", seed).allMatch(CompletableFuture::isDone);
            }
        }
    }

    @Test
    void corruptedRowIsReportedAndNothingWritten() {
        TableSnapshot base = seed();
        store.commit(new Transaction(List.of(), List.of(new Write(TableKeys.row("a"), "{\"name\":"))))
                .join();
        CompletableFuture<ApplyResult> result =
                committer.apply(base, TestRows.table(1, TestRows.withWeight(A, 3), B), "ann", "x", "c1");
        time.runFor(Duration.ofMinutes(1));
        assertThat(result).isCompletedExceptionally();
        assertThat(reader.readRevision().join()).isEqualTo(1);
    }
}
