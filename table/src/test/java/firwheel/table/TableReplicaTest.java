package firwheel.table;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.TableSnapshot;
import firwheel.model.TargetRow;
import firwheel.standin.FaultyTableService.Faults;
import firwheel.store.StoredRow;
import firwheel.store.Transaction;
import firwheel.store.Write;
import firwheel.table.ActiveTable.OfferResult;
import firwheel.table.SimulatedNetwork.Host;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TableReplicaTest {
    private static final TargetRow A = TestRows.row("a", 1);
    private static final TargetRow B = TestRows.row("b", 2);

    private final SimulatedNetwork network = new SimulatedNetwork(7);
    private final TableCommitter committer = new TableCommitter(network.platform, network.time, network.time);
    private int changes;

    private long apply(TargetRow... rows) {
        TableSnapshot base = new TableReader(network.store).read().join();
        var result =
                committer.apply(base, new TableSnapshot(base.revision(), List.of(rows)), "op", "x", "c" + changes++);
        network.time.runFor(Duration.ofMillis(20));
        return result.join().revision();
    }

    private List<Host> entries(int number) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            hosts.add(network.start("entry-" + i, "a", Peer.Role.ENTRY));
        }
        return hosts;
    }

    private void run(long seconds) {
        network.time.runFor(Duration.ofSeconds(seconds));
    }

    private void assertAllAt(long revision) {
        assertThat(network.hosts.values()).allSatisfy(host -> {
            assertThat(host.active.revision()).isEqualTo(revision);
            assertThat(host.replica.ready()).isTrue();
        });
    }

    @Nested
    final class Polling {
        @Test
        void readRateOfZoneIsIndependentOfHostCount() {
            for (int hosts : new int[] {1, 4, 10}) {
                SimulatedNetwork fresh = new SimulatedNetwork(hosts);
                for (int i = 0; i < hosts; i++) {
                    fresh.start("entry-" + i, "a", Peer.Role.ENTRY);
                }
                fresh.time.runFor(Duration.ofSeconds(10));
                long before = fresh.platform.reads();
                fresh.time.runFor(Duration.ofSeconds(100));
                assertThat((fresh.platform.reads() - before) / 100.0).isBetween(3.0, 5.0);
            }
        }

        @Test
        void resumesAfterSlowResponsesAndOutage() {
            entries(3);
            network.platform.setFaults(new Faults(
                    false, Duration.ofHours(1), 0, Duration.ZERO, 0, 0, Integer.MAX_VALUE, Integer.MAX_VALUE));
            run(60);
            network.platform.setFaults(Faults.unavailable());
            run(3_600);
            network.platform.setFaults(Faults.NONE);
            long revision = apply(A);
            run(4);
            assertAllAt(revision);
        }
    }

    @Nested
    final class HostStartup {
        @Test
        void rollingReplacementDuringPlatformOutageKeepsTable() {
            entries(5);
            long revision = apply(A, B);
            run(4);
            network.platform.setFaults(Faults.unavailable());
            for (int i = 0; i < 100; i++) {
                network.start("entry-" + i % 5, "a", Peer.Role.ENTRY);
                run(110);
            }
            assertAllAt(revision);
        }

        @Test
        void entriesReplacedAtOnceFetchTableFromAgents() {
            entries(3);
            network.start("agent-0", "a", Peer.Role.AGENT);
            long revision = apply(A, B);
            run(4);
            network.platform.setFaults(Faults.unavailable());
            entries(3);
            run(4);
            assertAllAt(revision);
        }

        @Test
        void notReadyWithoutAnyTableSource() {
            network.platform.setFaults(Faults.unavailable());
            Host alone = entries(1).get(0);
            run(60);
            assertThat(alone.replica.ready()).isFalse();
        }

        @Test
        void largeTableIsFetchedInBoundedPages() {
            List<TargetRow> rows = new ArrayList<>();
            for (int i = 0; i < 250; i++) {
                rows.add(TestRows.row(String.format("row-%03d", i), i));
            }
            long revision = apply(rows.toArray(TargetRow[]::new));
            Host entry = entries(2).get(0);
            run(4);
            network.platform.setFaults(Faults.unavailable());
            network.start("entry-1", "a", Peer.Role.ENTRY);
            run(4);
            assertAllAt(revision);
            assertThat(new SnapshotPages(entry.replica.activeTable().current())
                            .page(0)
                            .pages())
                    .isGreaterThan(1);
        }
    }

    @Nested
    final class CorruptedStore {
        @Test
        void corruptedRowsLeaveLastValidTableActive() {
            entries(3);
            long revision = apply(A, B);
            run(4);
            write(TableKeys.row("a"), "{\"name\":\"a\"");
            write(TableKeys.audit(revision + 1), "{");
            write(TableKeys.REVISION, "{\"revision\":" + (revision + 1) + "}");
            run(60);
            network.start("entry-1", "a", Peer.Role.ENTRY);
            run(60);
            assertAllAt(revision);
        }

        @Test
        void tableRestoredFromOlderBackupIsNotAdopted() {
            entries(3);
            long first = apply(A);
            List<StoredRow> backup = network.store.scan("", "", 100).join();
            long revision = apply(A, B);
            run(4);
            network.store.scan("", "", 100).join().forEach(row -> write(row.key(), null));
            backup.forEach(row -> write(row.key(), row.value()));
            network.start("entry-1", "a", Peer.Role.ENTRY);
            run(60);
            assertThat(first).isLessThan(revision);
            assertAllAt(revision);
        }

        private void write(String key, @Nullable String value) {
            network.store
                    .commit(new Transaction(List.of(), List.of(new Write(key, value))))
                    .join();
        }
    }

    @Nested
    final class ActiveTableUpdates {
        private final ActiveTable activeTable = new ActiveTable();

        @Test
        void refusesOlderDivergentAndInvalidTables() {
            assertThat(activeTable.offer(TestRows.table(5, A))).isEqualTo(OfferResult.APPLIED);
            assertThat(activeTable.offer(TestRows.table(5, A))).isEqualTo(OfferResult.UNCHANGED);
            assertThat(activeTable.offer(TestRows.table(5, B))).isEqualTo(OfferResult.REJECTED);
            assertThat(activeTable.offer(TestRows.table(4, A))).isEqualTo(OfferResult.STALE);
            assertThat(activeTable.offer(TestRows.table(9, A, TestRows.row("c", 1))))
                    .isEqualTo(OfferResult.REJECTED);
            assertThat(activeTable.table()).isEqualTo(TestRows.table(5, A));
        }

        @Test
        void refusesInapplicablePatches() {
            activeTable.offer(TestRows.table(5, A));
            TargetRow changed = TestRows.withWeight(A, 7);
            AuditRecord applicable = record(6, A, changed);
            assertThat(activeTable.offerAuditRecords(List.of(record(7, A, changed))))
                    .isEqualTo(OfferResult.GAP);
            assertThat(activeTable.offerAuditRecords(List.of(record(6, B, changed))))
                    .isEqualTo(OfferResult.REJECTED);
            assertThat(activeTable.offerAuditRecords(List.of(applicable))).isEqualTo(OfferResult.APPLIED);

            ActiveTable other = new ActiveTable();
            other.offer(TestRows.table(5, TestRows.withWeight(A, 1)));
            List<RevisionPatch> patches = activeTable.patchesAfter(5, 10_000);
            assertThat(patches.get(0).rows().get(0).fields()).hasSize(1);
            assertThat(other.offerPatches(patches))
                    .as("row that differs only in the patched field")
                    .isEqualTo(OfferResult.APPLIED);
            ActiveTable divergent = new ActiveTable();
            divergent.offer(TestRows.table(5, B));
            assertThat(divergent.offerPatches(patches)).isEqualTo(OfferResult.REJECTED);
            assertThat(activeTable.patchesAfter(3, 10_000)).isEmpty();
        }

        private AuditRecord record(long revision, TargetRow before, TargetRow after) {
            return new AuditRecord(revision, "c", "op", "x", 0, List.of(new RowChange("a", before, after)));
        }
    }
}
