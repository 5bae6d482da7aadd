package firwheel.experts.protocol;

import firwheel.experts.MapId;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Reply of a rank's agent to a {@link MapOrder}. */
public sealed interface RankReply {
    /** Returns the endpoint of the agent. */
    String member();

    /** Returns the incarnation of the agent. */
    long incarnation();

    /** Returns the round of the order that is answered. */
    RoundNumber round();

    /**
     * What the rank holds.
     *
     * @param committed last proposal that the rank knows to be committed; null where it lost its memory
     * @param nextStep first step that the rank has not started; null where it lost its memory
     * @param pendingProposals proposals accepted and not decided, lowest first
     * @param staged maps whose experts are loaded
     */
    record Status(
            String member,
            long incarnation,
            RoundNumber round,
            @Nullable Proposal committed,
            @Nullable StepId nextStep,
            List<Proposal> pendingProposals,
            Set<MapId> staged)
            implements RankReply {
        public Status {
            pendingProposals = List.copyOf(pendingProposals);
            staged = Set.copyOf(staged);
        }
    }

    /** The rank accepts the proposal of the round. */
    record Accepted(String member, long incarnation, RoundNumber round) implements RankReply {}

    /** The rank has taken the decision of the round, or has begun to stage. */
    record Acknowledged(String member, long incarnation, RoundNumber round) implements RankReply {}

    /**
     * The rank refuses the order, and a proposal for good.
     *
     * @param highestRound highest round that the rank has seen
     */
    record Refused(String member, long incarnation, RoundNumber round, Reason reason, RoundNumber highestRound)
            implements RankReply {}

    /** Why an order is refused. */
    enum Reason {
        /** A later round has been seen. */
        FENCED,
        /** The order is meant for an earlier incarnation. */
        WRONG_INCARNATION,
        /** The agent is not among the members. */
        NOT_MEMBER,
        /** The map's experts are not loaded. */
        NOT_STAGED,
        /** Another proposal is accepted and not decided, or the last one is not in force yet. */
        UNDECIDED,
        /** The proposal does not follow what the rank knows to be committed. */
        WRONG_BASE,
        /** The rank has started the proposal's first step. */
        STEP_PASSED,
        /** The rank does not hold the proposal that the decision is about. */
        UNKNOWN_PROPOSAL
    }
}
