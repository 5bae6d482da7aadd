package firwheel.routing;

import firwheel.model.RankKey;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/** Index of the ranks of a table by served name and zone, built once for each table revision. */
final class RankIndex {
    private final TableSnapshot table;
    private final Map<ServedName, ServedRanks> served;
    private final Map<String, RankGroup> groups;

    private RankIndex(TableSnapshot table, Map<ServedName, ServedRanks> served, Map<String, RankGroup> groups) {
        this.table = table;
        this.served = served;
        this.groups = groups;
    }

    /** Returns the ranks that serve this name, or null if no row of the table has the name, regardless of row state. */
    @Nullable
    ServedRanks served(TargetKind kind, String name) {
        return served.get(new ServedName(kind, name));
    }

    /** Returns the rank with this key, or null if it is not serving. */
    @Nullable
    RankCandidate rank(RankKey key) {
        RankGroup group = groups.get(key.row());
        if (group == null || key.rank() >= group.ranks().size()) {
            return null;
        }
        return group.ranks().get(key.rank());
    }

    private static RankIndex build(TableSnapshot table, @Nullable RankIndex previous, long nowNanos) {
        Map<String, RankGroup> groups = new HashMap<>();
        Map<ServedName, Map<String, List<RankGroup>>> byName = new HashMap<>();
        for (TargetRow row : table.rows()) {
            row.models()
                    .forEach(name -> byName.computeIfAbsent(new ServedName(row.kind(), name), n -> new HashMap<>()));
            if (row.state() != RowState.SERVING
                    || row.weight() <= 0
                    || row.hosts().isEmpty()) {
                continue;
            }
            RankGroup group = new RankGroup(row, servingSince(row, previous, nowNanos));
            groups.put(row.name(), group);
            for (String name : row.models()) {
                byName.getOrDefault(new ServedName(row.kind(), name), Map.of())
                        .computeIfAbsent(row.availabilityZone(), zone -> new ArrayList<>())
                        .add(group);
            }
        }
        Map<ServedName, ServedRanks> served = new HashMap<>();
        byName.forEach((name, zones) -> served.put(name, ServedRanks.of(zones)));
        return new RankIndex(table, served, groups);
    }

    private static long servingSince(TargetRow row, @Nullable RankIndex previous, long nowNanos) {
        if (previous == null) {
            return Long.MIN_VALUE;
        }
        RankGroup previousGroup = previous.groups.get(row.name());
        if (previousGroup != null) {
            return previousGroup.servingSinceNanos();
        }
        boolean wasJoining = previous.table
                .row(row.name())
                .filter(previousRow -> previousRow.state() == RowState.JOINING)
                .isPresent();
        return wasJoining ? nowNanos : Long.MIN_VALUE;
    }

    private record ServedName(TargetKind kind, String name) {}

    /** Caches the index of the latest table, including when each row changed from joining to serving. Thread-safe. */
    static final class Cache {
        private final AtomicReference<@Nullable RankIndex> current = new AtomicReference<>();

        /** Returns the index of the view's table. */
        RankIndex of(RoutingView view) {
            TableSnapshot table = view.table();
            RankIndex index = current.get();
            if (index != null && index.table.equals(table)) {
                return index;
            }
            RankIndex built = build(table, index, view.nowNanos());
            current.compareAndSet(index, built);
            return built;
        }
    }
}
