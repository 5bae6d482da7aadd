package firwheel.experts.protocol;

import firwheel.experts.protocol.MapOrder.Decide;
import firwheel.experts.protocol.MapOrder.Decision;
import firwheel.experts.protocol.MapOrder.Propose;
import firwheel.experts.protocol.MapOrder.QueryStatus;
import firwheel.experts.protocol.MapOrder.Stage;
import firwheel.experts.protocol.RankReply.Accepted;
import firwheel.experts.protocol.RankReply.Acknowledged;
import firwheel.experts.protocol.RankReply.Reason;
import firwheel.experts.protocol.RankReply.Refused;
import firwheel.experts.protocol.RankReply.Status;
import org.jspecify.annotations.Nullable;

/**
 * Participant of the switch protocol, run by the agent of a rank. A rank that has accepted a proposal does not start
 * the proposal's first step, or any later one, before it learns the decision. A rank that has refused a proposal never
 * accepts it later.
 */
public final class SwitchParticipant implements RankProtocol {
    @Override
    public Transition handle(RankState state, MapOrder order) {
        if (order.round().compareTo(state.highestRound()) < 0) {
            return refuse(state, order, Reason.FENCED);
        }
        if (order instanceof QueryStatus) {
            return reportStatus(state.withHighestRound(order.round()), order);
        }
        if (order instanceof Propose propose) {
            return propose(state, propose);
        }
        if (order instanceof Decide decide) {
            return decide(state.withHighestRound(order.round()), decide);
        }
        return stage(state.withHighestRound(order.round()), (Stage) order);
    }

    private static Transition reportStatus(RankState state, MapOrder order) {
        RankReply status = new Status(
                state.member(),
                state.incarnation(),
                order.round(),
                state.committed(),
                state.nextStep(),
                state.pendingProposals(),
                state.staged());
        return new Transition(state, status, null);
    }

    private static Transition stage(RankState state, Stage order) {
        if (order.incarnation() != state.incarnation()) {
            return refuse(state, order, Reason.WRONG_INCARNATION);
        }
        boolean loaded = state.staged().contains(order.map());
        return new Transition(state, acknowledge(state, order), loaded ? null : order.map());
    }

    private static Transition propose(RankState state, Propose order) {
        Proposal proposal = order.proposal();
        if (order.incarnation() != state.incarnation()) {
            return refuse(state.withHighestRound(order.round()), order, Reason.WRONG_INCARNATION);
        }
        if (state.hasPending(proposal)) {
            return accept(state, order);
        }
        if (order.round().compareTo(state.highestRound()) <= 0) {
            return refuse(state, order, Reason.FENCED);
        }
        RankState withRound = state.withHighestRound(order.round());
        Reason reason = refusalReason(withRound, proposal);
        return reason == null
                ? accept(withRound.withPendingProposal(proposal), order)
                : refuse(withRound, order, reason);
    }

    private static @Nullable Reason refusalReason(RankState state, Proposal proposal) {
        if (!proposal.members().contains(state.member())) {
            return Reason.NOT_MEMBER;
        }
        if (!state.staged().contains(proposal.map())) {
            return Reason.NOT_STAGED;
        }
        return proposal.opensEpoch() ? null : refusalReasonWithinEpoch(state, proposal);
    }

    private static @Nullable Reason refusalReasonWithinEpoch(RankState state, Proposal proposal) {
        Proposal committed = state.committed();
        StepId nextStep = state.nextStep();
        if (committed == null || nextStep == null || !committed.number().equals(proposal.baseNumber())) {
            return Reason.WRONG_BASE;
        }
        if (!state.pendingProposals().isEmpty() || nextStep.compareTo(committed.firstStep()) < 0) {
            return Reason.UNDECIDED;
        }
        if (!nextStep.epoch().equals(proposal.firstStep().epoch())) {
            return Reason.WRONG_BASE;
        }
        return nextStep.compareTo(proposal.firstStep()) > 0 ? Reason.STEP_PASSED : null;
    }

    private static Transition decide(RankState state, Decide order) {
        if (order.incarnation() != state.incarnation()) {
            return refuse(state, order, Reason.WRONG_INCARNATION);
        }
        return order.decision() == Decision.COMMIT ? commit(state, order) : abort(state, order);
    }

    private static Transition commit(RankState state, Decide order) {
        Proposal proposal = order.proposal();
        if (state.hasPending(proposal)) {
            RankState switched = state.withCommitted(proposal);
            return new Transition(switched, acknowledge(switched, order), null);
        }
        Proposal committed = state.committed();
        boolean alreadyCommitted = committed != null && committed.number().compareTo(proposal.number()) >= 0;
        return alreadyCommitted
                ? new Transition(state, acknowledge(state, order), null)
                : refuse(state, order, Reason.UNKNOWN_PROPOSAL);
    }

    private static Transition abort(RankState state, Decide order) {
        RankState updated = state.withPendingProposals(state.pendingProposals().stream()
                .filter(pending -> !pending.equals(order.proposal()))
                .toList());
        return new Transition(updated, acknowledge(updated, order), null);
    }

    private static Transition accept(RankState state, Propose order) {
        return new Transition(state, new Accepted(state.member(), state.incarnation(), order.round()), null);
    }

    private static Acknowledged acknowledge(RankState state, MapOrder order) {
        return new Acknowledged(state.member(), state.incarnation(), order.round());
    }

    private static Transition refuse(RankState state, MapOrder order, Reason reason) {
        Refused reply = new Refused(state.member(), state.incarnation(), order.round(), reason, state.highestRound());
        return new Transition(state, reply, null);
    }
}
