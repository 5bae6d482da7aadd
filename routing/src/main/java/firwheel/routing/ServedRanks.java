package firwheel.routing;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The serving ranks of one model or service.
 *
 * @param byZone ranks of each zone
 * @param all ranks of all zones
 */
record ServedRanks(Map<String, RankSet> byZone, RankSet all) {
    static ServedRanks of(Map<String, List<RankGroup>> groupsByZone) {
        Map<String, RankSet> byZone = groupsByZone.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, entry -> new RankSet(entry.getValue())));
        List<RankGroup> all = groupsByZone.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .flatMap(entry -> entry.getValue().stream())
                .toList();
        return new ServedRanks(byZone, new RankSet(all));
    }

    /** Returns the ranks in {@code zone}, possibly none. */
    RankSet inZone(String zone) {
        return byZone.getOrDefault(zone, RankSet.EMPTY);
    }
}
