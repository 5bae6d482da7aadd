package firwheel.table;

import firwheel.model.RankAddress;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import java.util.List;

/** Creates table rows for tests. */
final class TestRows {
    private TestRows() {}

    static TargetRow row(String name, int number) {
        List<RankAddress> hosts = List.of(
                new RankAddress(0, "10.0." + number + ".1", 7000), new RankAddress(1, "10.0." + number + ".2", 7000));
        return new TargetRow(
                name,
                TargetKind.MODEL,
                List.of("m1", "m2"),
                "zone-a",
                RowState.SERVING,
                1.5,
                8,
                16,
                100_000,
                true,
                hosts,
                false,
                true,
                2,
                0.25);
    }

    static TargetRow withWeight(TargetRow row, double weight) {
        return new TargetRow(
                row.name(),
                row.kind(),
                row.models(),
                row.availabilityZone(),
                row.state(),
                weight,
                row.maxInFlight(),
                row.maxQueue(),
                row.maxTokensInFlight(),
                row.idempotent(),
                row.hosts(),
                row.checksOrders(),
                row.fencesOrders(),
                row.skewPrice(),
                row.movePrice());
    }

    static TableSnapshot table(long revision, TargetRow... rows) {
        return new TableSnapshot(revision, List.of(rows));
    }
}
