package firwheel.experts.protocol;

import firwheel.experts.MapId;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Proposed change of a group's expert map. It is committed if and only if every member accepts it.
 *
 * @param number round of the coordinator that proposed it
 * @param baseNumber number of the committed proposal that it follows in the same epoch; null if it opens a new epoch
 * @param map proposed map
 * @param firstStep first step that runs under the map
 * @param members endpoints of the ranks' agents, ordered by rank
 */
public record Proposal(
        RoundNumber number, @Nullable RoundNumber baseNumber, MapId map, StepId firstStep, List<String> members) {
    public Proposal {
        Objects.requireNonNull(number, "number");
        Objects.requireNonNull(map, "map");
        Objects.requireNonNull(firstStep, "firstStep");
        members = List.copyOf(members);
    }

    /** Returns a proposal within the epoch of {@code committed}. */
    public static Proposal following(Proposal committed, RoundNumber number, MapId map, StepId firstStep) {
        return new Proposal(number, committed.number(), map, firstStep, committed.members());
    }

    /** Returns a proposal that opens a new epoch, needed if the members have changed or a rank has lost its state. */
    public static Proposal openingEpoch(RoundNumber number, MapId map, List<String> members) {
        return new Proposal(number, null, map, new StepId(number, 0), members);
    }

    public boolean opensEpoch() {
        return baseNumber == null;
    }
}
