package firwheel.experts.protocol;

import firwheel.experts.MapId;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * A proposed change of a group's map. It is committed if and only if every member accepts it.
 *
 * @param number round of the coordinator that proposed it
 * @param baseNumber number of the committed proposal that it follows in the same epoch; null where it opens a new epoch
 * @param map map to use
 * @param firstStep first step under the map
 * @param members endpoints of the ranks' agents, ordered by rank
 */
public record Proposal(
        RoundNumber number, @Nullable RoundNumber baseNumber, MapId map, StepId firstStep, List<String> members) {
    public Proposal {
        Objects.requireNonNull(number, "number");
        Objects.requireNonNull(map, "map");
        Objects.requireNonNull(firstStep, "from");
        members = List.copyOf(members);
    }

    /** Returns a change within the epoch of {@code committed}. */
    public static Proposal following(Proposal committed, RoundNumber number, MapId map, StepId from) {
        return new Proposal(number, committed.number(), map, from, committed.members());
    }

    /** Returns a change that opens a new epoch; for a group with new members or with a rank that lost its memory. */
    public static Proposal openingEpoch(RoundNumber number, MapId map, List<String> members) {
        return new Proposal(number, null, map, new StepId(number, 0), members);
    }

    /** Returns whether the proposal opens a new epoch. */
    public boolean opensEpoch() {
        return baseNumber == null;
    }
}
