package firwheel.experts.protocol;

import firwheel.experts.MapId;
import firwheel.experts.protocol.MapOrder.Decision;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * What one coordinator knows of the group that it switches. Lost when it dies; its successor asks the ranks.
 *
 * @param round present round
 * @param members endpoints of the ranks' agents, ordered by rank
 * @param target wanted map; null where the group is only to agree
 * @param initialMap map of a group none of whose members knows one
 * @param leadSteps steps between the furthest rank and a proposal's first step
 * @param phase what the coordinator waits for
 * @param replies replies of the round by member
 * @param incarnations incarnations of the members as of the last inquiry
 * @param proposal proposal that is voted on or decided; null in other phases
 * @param decision outcome of {@code proposal}; null until decided
 */
public record CoordinatorState(
        RoundNumber round,
        List<String> members,
        @Nullable MapId target,
        MapId initialMap,
        int leadSteps,
        Phase phase,
        Map<String, RankReply> replies,
        Map<String, Long> incarnations,
        @Nullable Proposal proposal,
        @Nullable Decision decision) {
    public CoordinatorState {
        members = List.copyOf(members);
        replies = Map.copyOf(replies);
        incarnations = Map.copyOf(incarnations);
    }

    /** What a coordinator waits for. */
    public enum Phase {
        /** Statuses of all members. */
        INQUIRING,
        /** Answers to a proposal. */
        PROPOSING,
        /** Acknowledgements of a decision. */
        DECIDING,
        /** Staging, or the time to try again. */
        WAITING,
        /** The members agree and the target, if any, is reached or was given up. */
        SETTLED,
        /** A later coordinator has given orders; this one must stop. */
        FENCED
    }

    /** Returns whether every member has replied in this round. */
    boolean complete() {
        return replies.keySet().containsAll(members);
    }

    CoordinatorState in(Phase newPhase) {
        return new CoordinatorState(
                round, members, target, initialMap, leadSteps, newPhase, replies, incarnations, proposal, decision);
    }

    CoordinatorState withReply(RankReply reply) {
        Map<String, RankReply> more = new java.util.HashMap<>(replies);
        more.put(reply.member(), reply);
        return new CoordinatorState(
                round, members, target, initialMap, leadSteps, phase, more, incarnations, proposal, decision);
    }

    CoordinatorState withIncarnations(Map<String, Long> known) {
        return new CoordinatorState(
                round, members, target, initialMap, leadSteps, phase, replies, known, proposal, decision);
    }

    CoordinatorState withTarget(@Nullable MapId map) {
        return new CoordinatorState(
                round, members, map, initialMap, leadSteps, phase, replies, incarnations, proposal, decision);
    }

    /** Returns the state in {@code newPhase} with no replies yet, in the next round unless {@code sameRound}. */
    CoordinatorState awaiting(
            Phase newPhase, RoundNumber newRound, @Nullable Proposal about, @Nullable Decision outcome) {
        return new CoordinatorState(
                newRound, members, target, initialMap, leadSteps, newPhase, Map.of(), incarnations, about, outcome);
    }
}
