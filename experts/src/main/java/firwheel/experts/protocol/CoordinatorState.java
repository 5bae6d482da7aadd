package firwheel.experts.protocol;

import firwheel.experts.MapId;
import firwheel.experts.protocol.MapOrder.Decision;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * State of a coordinator. It is not persisted: a successor rebuilds it by querying the ranks.
 *
 * @param round current round
 * @param members endpoints of the ranks' agents, ordered by rank
 * @param desiredMap map to switch to; null if only undecided proposals are to be resolved
 * @param initialMap map to use if no member knows a committed one
 * @param leadSteps number of steps between the most advanced rank and the first step of a proposal
 * @param phase current phase
 * @param replies replies received in the current phase, by member
 * @param incarnations incarnations of the members as of the last status query
 * @param proposal proposal being voted on or decided; null if there is none
 * @param decision decision about {@code proposal}; null until decided
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

    /** Phase of a coordinator. */
    public enum Phase {
        /** Waits for the status of every member. */
        QUERYING,
        /** Waits for votes on a proposal. */
        PROPOSING,
        /** Waits for every member to acknowledge a decision. */
        DECIDING,
        /** Waits for the timeout, after which it queries again: experts are being staged, or a retry is due. */
        WAITING,
        /**
         * All members hold the same committed map, and the desired map, if any, is reached or its proposal was aborted.
         */
        SETTLED,
        /** A coordinator with a higher fencing number is active; this one must stop. */
        FENCED
    }

    /** Returns whether every member has replied in the current phase. */
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

    /** Returns the state at the start of {@code newPhase}, without replies. */
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
