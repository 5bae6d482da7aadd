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
 * @param desiredMap wanted map; null where the group is only to agree
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
        @Nullable MapId desiredMap,
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
        QUERYING,
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
    boolean allMembersReplied() {
        return replies.keySet().containsAll(members);
    }

    CoordinatorState withPhase(Phase newPhase) {
        return new CoordinatorState(
                round, members, desiredMap, initialMap, leadSteps, newPhase, replies, incarnations, proposal, decision);
    }

    CoordinatorState withReply(RankReply reply) {
        Map<String, RankReply> updatedReplies = new java.util.HashMap<>(replies);
        updatedReplies.put(reply.member(), reply);
        return new CoordinatorState(
                round,
                members,
                desiredMap,
                initialMap,
                leadSteps,
                phase,
                updatedReplies,
                incarnations,
                proposal,
                decision);
    }

    CoordinatorState withIncarnations(Map<String, Long> newIncarnations) {
        return new CoordinatorState(
                round, members, desiredMap, initialMap, leadSteps, phase, replies, newIncarnations, proposal, decision);
    }

    CoordinatorState withDesiredMap(@Nullable MapId map) {
        return new CoordinatorState(
                round, members, map, initialMap, leadSteps, phase, replies, incarnations, proposal, decision);
    }

    /** Returns the state in {@code newPhase} with no replies yet, in the next round unless {@code sameRound}. */
    CoordinatorState startPhase(
            Phase newPhase, RoundNumber newRound, @Nullable Proposal newProposal, @Nullable Decision newDecision) {
        return new CoordinatorState(
                newRound,
                members,
                desiredMap,
                initialMap,
                leadSteps,
                newPhase,
                Map.of(),
                incarnations,
                newProposal,
                newDecision);
    }
}
