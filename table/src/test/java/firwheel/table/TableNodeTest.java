package firwheel.table;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.TableSnapshot;
import firwheel.model.TargetRow;
import firwheel.standin.FaultyTableService.Faults;
import firwheel.store.StoredRow;
import firwheel.store.Transaction;
import firwheel.store.Write;
import firwheel.table.ActiveTable.OfferResult;
import firwheel.table.FakeNetwork.Host;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TableNodeTest {
    private static final TargetRow A = Rows.row("a", 1);
    private static final TargetRow B = Rows.row("b", 2);

    private final FakeNetwork network = new FakeNetwork(7);
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
            assertThat(host.inForce.revision()).isEqualTo(revision);
            assertThat(host.node.ready()).isTrue();
        });
    }

    @Nested
    final class Polling {
        @Test
        void ofZoneStaysAtFewReadsHoweverManyHosts() {
            for (int hosts : new int[] {1, 4, 10}) {
                FakeNetwork fresh = new FakeNetwork(hosts);
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
        void stopsNeitherAfterSlowAnswersNorAfterOutage() {
            entries(3);
            network.platform.setFaults(new Faults(
                    false, Duration.ofHours(1), 0, Duration.ZERO, 0, 0, Integer.MAX_VALUE, Integer.MAX_VALUE));
            run(60);
            network.platform.setFaults(Faults.down());
            run(3_600);
            network.platform.setFaults(Faults.NONE);
            long revision = apply(A);
            run(4);
            assertAllAt(revision);
        }
    }

    @Nested
    final class StartingHosts {
        @Test
        void areReplacedOneAfterAnotherWhilePlatformIsDownForHours() {
            entries(5);
            long revision = apply(A, B);
            run(4);
            network.platform.setFaults(Faults.down());
            for (int i = 0; i < 100; i++) {
                network.start("entry-" + i % 5, "a", Peer.Role.ENTRY);
                run(110);
            }
            assertAllAt(revision);
        }

        @Test
        void takeTableFromAgentsWhenAllEntriesAreReplacedAtOnce() {
            entries(3);
            network.start("agent-0", "a", Peer.Role.AGENT);
            long revision = apply(A, B);
            run(4);
            network.platform.setFaults(Faults.down());
            entries(3);
            run(4);
            assertAllAt(revision);
        }

        @Test
        void serveNothingWhenNobodyHasTable() {
            network.platform.setFaults(Faults.down());
            Host alone = entries(1).get(0);
            run(60);
            assertThat(alone.node.ready()).isFalse();
        }

        @Test
        void fetchLargeTableInBoundedPages() {
            List<TargetRow> rows = new ArrayList<>();
            for (int i = 0; i < 250; i++) {
                rows.add(Rows.row(String.format("row-%03d", i), i));
            }
            long revision = apply(rows.toArray(TargetRow[]::new));
            Host keeper = entries(2).get(0);
            run(4);
            network.platform.setFaults(Faults.down());
            network.start("entry-1", "a", Peer.Role.ENTRY);
            run(4);
            assertAllAt(revision);
            assertThat(new SnapshotPages(keeper.node.activeTable().current())
                            .page(0)
                            .pages())
                    .isGreaterThan(1);
        }
    }

    @Nested
    final class BadStore {
        @Test
        void withDamagedRowsLeavesLastGoodTableInForce() {
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
        void restoredFromOlderBackupIsNotAdopted() {
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
    final class Holder {
        private final ActiveTable holder = new ActiveTable();

        @Test
        void refusesOlderForkedAndInvalidTables() {
            assertThat(holder.offer(Rows.table(5, A))).isEqualTo(OfferResult.APPLIED);
            assertThat(holder.offer(Rows.table(5, A))).isEqualTo(OfferResult.UNCHANGED);
            assertThat(holder.offer(Rows.table(5, B))).isEqualTo(OfferResult.REJECTED);
            assertThat(holder.offer(Rows.table(4, A))).isEqualTo(OfferResult.STALE);
            assertThat(holder.offer(Rows.table(9, A, Rows.row("c", 1)))).isEqualTo(OfferResult.REJECTED);
            assertThat(holder.table()).isEqualTo(Rows.table(5, A));
        }

        @Test
        void refusesStepsThatDoNotFit() {
            holder.offer(Rows.table(5, A));
            TargetRow changed = Rows.withWeight(A, 7);
            AuditRecord fits = record(6, A, changed);
            assertThat(holder.offerAuditRecords(List.of(record(7, A, changed)))).isEqualTo(OfferResult.GAP);
            assertThat(holder.offerAuditRecords(List.of(record(6, B, changed)))).isEqualTo(OfferResult.REJECTED);
            assertThat(holder.offerAuditRecords(List.of(fits))).isEqualTo(OfferResult.APPLIED);

            ActiveTable other = new ActiveTable();
            other.offer(Rows.table(5, Rows.withWeight(A, 1)));
            List<RevisionPatch> steps = holder.patchesAfter(5, 10_000);
            assertThat(steps.get(0).rows().get(0).fields()).hasSize(1);
            assertThat(other.offerPatches(steps)).as("same row, other limits").isEqualTo(OfferResult.APPLIED);
            ActiveTable forked = new ActiveTable();
            forked.offer(Rows.table(5, B));
            assertThat(forked.offerPatches(steps)).isEqualTo(OfferResult.REJECTED);
            assertThat(holder.patchesAfter(3, 10_000)).isEmpty();
        }

        private AuditRecord record(long revision, TargetRow before, TargetRow after) {
            return new AuditRecord(revision, "c", "op", "x", 0, List.of(new RowChange("a", before, after)));
        }
    }
}
