package firwheel.routing;

import firwheel.model.Priority;
import firwheel.model.RankAddress;
import firwheel.model.RankKey;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/** Rows, tables and requests for the tests of this package. */
final class RoutingFixtures {
    static final String MODEL = "scribe";
    static final String ZONE = "z1";

    private RoutingFixtures() {}

    static TargetRow group(String name, String zone, RowState state, double weight, int ranks) {
        List<RankAddress> hosts = IntStream.range(0, ranks)
                .mapToObj(rank -> new RankAddress(rank, "127.0.0.1", 7000 + rank))
                .toList();
        return new TargetRow(
                name,
                TargetKind.MODEL,
                List.of(MODEL),
                zone,
                state,
                weight,
                32,
                32,
                100_000,
                true,
                hosts,
                true,
                true,
                1,
                1);
    }

    static TableSnapshot table(long revision, TargetRow... rows) {
        return new TableSnapshot(revision, List.of(rows));
    }

    static RouteRequest request(List<Long> prefix, RankKey... excluded) {
        return new RouteRequest(TargetKind.MODEL, MODEL, "county", Priority.NORMAL, prefix, 200, Set.of(excluded));
    }

    static RouteRequest request() {
        return request(List.of());
    }
}
