package firwheel.bench.capacity;

import firwheel.model.RankAddress;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import java.util.ArrayList;
import java.util.List;

/** Generates tables of a given size for measurements. */
final class SampleTable {
    private static final int PORT = 7_000;
    private static final int BYTE_VALUES = 256;

    private SampleTable() {}

    /** Returns a table of {@code rows} plain services with one host each. */
    static TableSnapshot services(int rows) {
        List<TargetRow> targetRows = new ArrayList<>();
        for (int i = 0; i < rows; i++) {
            RankAddress host = new RankAddress(0, ip(i), PORT);
            targetRows.add(row(String.format("row-%05d", i), TargetKind.SERVICE, "service-" + i % 8, List.of(host)));
        }
        return new TableSnapshot(1, targetRows);
    }

    /** Returns a table of one model served by groups of 32 ranks; {@code ranks} is rounded up to whole groups. */
    static TableSnapshot groups(int ranks) {
        List<TargetRow> targetRows = new ArrayList<>();
        for (int group = 0; group * 32 < ranks; group++) {
            List<RankAddress> hosts = new ArrayList<>();
            for (int rank = 0; rank < 32; rank++) {
                hosts.add(new RankAddress(rank, ip(group * 32 + rank), PORT));
            }
            targetRows.add(row(String.format("group-%05d", group), TargetKind.MODEL, "model", hosts));
        }
        return new TableSnapshot(1, targetRows);
    }

    private static TargetRow row(String name, TargetKind kind, String servedName, List<RankAddress> hosts) {
        return new TargetRow(
                name,
                kind,
                List.of(servedName),
                "zone-a",
                RowState.SERVING,
                1,
                64,
                64,
                100_000,
                false,
                hosts,
                true,
                true,
                1,
                1);
    }

    private static String ip(int index) {
        return "10." + index / BYTE_VALUES / BYTE_VALUES + "." + index / BYTE_VALUES % BYTE_VALUES + "."
                + index % BYTE_VALUES;
    }
}
