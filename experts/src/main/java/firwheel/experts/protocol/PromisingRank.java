package firwheel.experts.protocol;

import firwheel.experts.protocol.MapOrder.Decide;
import firwheel.experts.protocol.MapOrder.Decision;
import firwheel.experts.protocol.MapOrder.Inquire;
import firwheel.experts.protocol.MapOrder.Propose;
import firwheel.experts.protocol.MapOrder.Stage;
import firwheel.experts.protocol.RankReply.Accepted;
import firwheel.experts.protocol.RankReply.Done;
import firwheel.experts.protocol.RankReply.Reason;
import firwheel.experts.protocol.RankReply.Refused;
import firwheel.experts.protocol.RankReply.Status;
import org.jspecify.annotations.Nullable;

/**
 * The rank's side of the switch protocol. A rank that accepts a proposal runs no step from the proposal's first one
 * until it learns the outcome; a rank that refuses one never accepts it later.
 */
public final class PromisingRank implements RankProtocol {
    @Override
    public Transition handle(RankState state, MapOrder order) {
        if (order.round().compareTo(state.floor()) < 0) {
            return refuse(state, order, Reason.FENCED);
        }
        if (order instanceof Inquire) {
            return inquire(state.withFloor(order.round()), order);
        }
        if (order instanceof Propose propose) {
            return propose(state, propose);
        }
        if (order instanceof Decide decide) {
            return decide(state.withFloor(order.round()), decide);
        }
        return stage(state.withFloor(order.round()), (Stage) order);
    }

    private static Transition inquire(RankState state, MapOrder order) {
        RankReply status = new Status(
                state.member(),
                state.incarnation(),
                order.round(),
                state.committed(),
                state.nextStep(),
                state.promises(),
                state.staged());
        return new Transition(state, status, null);
    }

    private static Transition stage(RankState state, Stage order) {
        if (order.incarnation() != state.incarnation()) {
            return refuse(state, order, Reason.WRONG_INCARNATION);
        }
        boolean loaded = state.staged().contains(order.map());
        return new Transition(state, done(state, order), loaded ? null : order.map());
    }

    private static Transition propose(RankState state, Propose order) {
        Proposal proposal = order.proposal();
        if (order.incarnation() != state.incarnation()) {
            return refuse(state.withFloor(order.round()), order, Reason.WRONG_INCARNATION);
        }
        if (state.holds(proposal)) {
            return accept(state, order);
        }
        if (order.round().compareTo(state.floor()) <= 0) {
            return refuse(state, order, Reason.FENCED);
        }
        RankState seen = state.withFloor(order.round());
        Reason objection = objection(seen, proposal);
        return objection == null ? accept(seen.withPromise(proposal), order) : refuse(seen, order, objection);
    }

    private static @Nullable Reason objection(RankState state, Proposal proposal) {
        if (!proposal.members().contains(state.member())) {
            return Reason.NOT_MEMBER;
        }
        if (!state.staged().contains(proposal.map())) {
            return Reason.NOT_STAGED;
        }
        return proposal.opensEpoch() ? null : objectionWithinEpoch(state, proposal);
    }

    private static @Nullable Reason objectionWithinEpoch(RankState state, Proposal proposal) {
        Proposal committed = state.committed();
        StepId nextStep = state.nextStep();
        if (committed == null || nextStep == null || !committed.number().equals(proposal.base())) {
            return Reason.WRONG_BASE;
        }
        if (!state.promises().isEmpty() || nextStep.compareTo(committed.from()) < 0) {
            return Reason.UNDECIDED;
        }
        if (!nextStep.epoch().equals(proposal.from().epoch())) {
            return Reason.WRONG_BASE;
        }
        return nextStep.compareTo(proposal.from()) > 0 ? Reason.STEP_PASSED : null;
    }

    private static Transition decide(RankState state, Decide order) {
        if (order.incarnation() != state.incarnation()) {
            return refuse(state, order, Reason.WRONG_INCARNATION);
        }
        return order.decision() == Decision.COMMIT ? commit(state, order) : abort(state, order);
    }

    private static Transition commit(RankState state, Decide order) {
        Proposal proposal = order.proposal();
        if (state.holds(proposal)) {
            RankState switched = state.withCommitted(proposal);
            return new Transition(switched, done(switched, order), null);
        }
        Proposal committed = state.committed();
        boolean known = committed != null && committed.number().compareTo(proposal.number()) >= 0;
        return known ? new Transition(state, done(state, order), null) : refuse(state, order, Reason.UNKNOWN_PROPOSAL);
    }

    private static Transition abort(RankState state, Decide order) {
        RankState released = state.withPromises(state.promises().stream()
                .filter(held -> !held.equals(order.proposal()))
                .toList());
        return new Transition(released, done(released, order), null);
    }

    private static Transition accept(RankState state, Propose order) {
        return new Transition(state, new Accepted(state.member(), state.incarnation(), order.round()), null);
    }

    private static Done done(RankState state, MapOrder order) {
        return new Done(state.member(), state.incarnation(), order.round());
    }

    private static Transition refuse(RankState state, MapOrder order, Reason reason) {
        Refused reply = new Refused(state.member(), state.incarnation(), order.round(), reason, state.floor());
        return new Transition(state, reply, null);
    }
}
