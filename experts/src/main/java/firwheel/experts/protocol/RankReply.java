package firwheel.experts.protocol;

import firwheel.experts.MapId;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Reply of the agent of a rank to a {@link MapOrder}. */
public sealed interface RankReply {
    /** Returns the endpoint of the agent. */
    String member();

    /** Returns the incarnation of the agent. */
    long incarnation();

    /** Returns the round of the order that this replies to. */
    RoundNumber round();

    /**
     * Status of the rank.
     *
     * @param committed last proposal that the rank knows to be committed; null after a restart
     * @param nextStep first step that the rank has not started; null after a restart
     * @param pendingProposals proposals accepted and not yet decided, lowest number first
     * @param staged maps whose experts are loaded on the rank
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

    /** The rank has accepted the proposal of the round. */
    record Accepted(String member, long incarnation, RoundNumber round) implements RankReply {}

    /** The rank has applied the decision of the round, or has started to load experts. */
    record Acknowledged(String member, long incarnation, RoundNumber round) implements RankReply {}

    /**
     * The rank refuses the order. A refused proposal is never accepted later.
     *
     * @param highestRound highest round that the rank has seen
     */
    record Refused(String member, long incarnation, RoundNumber round, Reason reason, RoundNumber highestRound)
            implements RankReply {}

    /** Reason for which an order is refused. */
    enum Reason {
        /** The round is lower than the highest one seen, or the rank already answered in it. */
        FENCED,
        /** The order is addressed to an earlier incarnation of the agent. */
        WRONG_INCARNATION,
        /** The agent is not a member of the proposal. */
        NOT_MEMBER,
        /** The experts of the map are not loaded. */
        NOT_STAGED,
        /** Another proposal is pending, or the first step of the last committed one is not reached yet. */
        UNDECIDED,
        /** The proposal is not based on the last proposal that the rank knows to be committed. */
        WRONG_BASE,
        /** The rank has already started the proposal's first step. */
        STEP_PASSED,
        /** The rank has not accepted the proposal that the decision is about. */
        UNKNOWN_PROPOSAL
    }
}
