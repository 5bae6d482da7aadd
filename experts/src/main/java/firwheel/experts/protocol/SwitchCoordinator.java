package firwheel.experts.protocol;

import firwheel.experts.MapId;
import firwheel.experts.protocol.CoordinatorState.Phase;
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
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The coordinator's side of the switch protocol: inquires of all members, settles what a predecessor left undecided,
 * stages the target map, proposes it, and commits it if every member accepts. Any time limit that passes leads to a new
 * inquiry.
 */
public final class SwitchCoordinator implements CoordinatorProtocol {
    /**
     * Returns the first state and orders of a coordinator.
     *
     * @param fencing fencing number of its lease
     * @param members endpoints of the ranks' agents, ordered by rank
     * @param target wanted map; null where the group is only to agree
     * @param initialMap map of a group none of whose members knows one
     * @param leadSteps steps between the furthest rank and a proposal's first step
     */
    public Transition start(
            long fencing, List<String> members, @Nullable MapId target, MapId initialMap, int leadSteps) {
        CoordinatorState state = new CoordinatorState(
                new RoundNumber(fencing, 0),
                members,
                target,
                initialMap,
                leadSteps,
                Phase.SETTLED,
                Map.of(),
                Map.of(),
                null,
                null);
        return inquire(state);
    }

    /** Returns the state and orders that bring the group of {@code state} to {@code target}. */
    public Transition retarget(CoordinatorState state, MapId target) {
        return inquire(state.withTarget(target));
    }

    @Override
    public Transition onTimeout(CoordinatorState state) {
        return state.phase() == Phase.FENCED ? new Transition(state, List.of()) : inquire(state);
    }

    @Override
    public Transition onReply(CoordinatorState state, RankReply reply) {
        if (isFenced(state, reply)) {
            return new Transition(state.in(Phase.FENCED), List.of());
        }
        if (!reply.round().equals(state.round()) || !state.members().contains(reply.member())) {
            return new Transition(state, List.of());
        }
        return switch (state.phase()) {
            case INQUIRING -> reply instanceof Status ? collect(state.withReply(reply)) : same(state);
            case PROPOSING -> onVote(state, reply);
            case DECIDING -> onAcknowledgement(state, reply);
            case WAITING, SETTLED, FENCED -> same(state);
        };
    }

    private static boolean isFenced(CoordinatorState state, RankReply reply) {
        return reply instanceof Refused refused
                && refused.floor().fencing() > state.round().fencing();
    }

    private static Transition inquire(CoordinatorState state) {
        RoundNumber round = state.round().next();
        CoordinatorState next = state.awaiting(Phase.INQUIRING, round, null, null);
        return new Transition(next, toAll(next, member -> new Inquire(round)));
    }

    private static Transition collect(CoordinatorState state) {
        if (!state.complete()) {
            return same(state);
        }
        List<Status> statuses = new ArrayList<>();
        state.members().forEach(member -> statuses.add((Status) state.replies().get(member)));
        Map<String, Long> incarnations = new HashMap<>();
        statuses.forEach(status -> incarnations.put(status.member(), status.incarnation()));
        return resolve(state.withIncarnations(incarnations), statuses);
    }

    private static Transition resolve(CoordinatorState state, Collection<Status> statuses) {
        Resolution resolution = Resolution.of(state.members(), statuses);
        if (resolution instanceof Resolution.Outcome outcome) {
            return decide(state, outcome.proposal(), outcome.decision());
        }
        if (resolution instanceof Resolution.NewEpoch opening) {
            MapId map = opening.map() == null ? state.initialMap() : opening.map();
            RoundNumber number = state.round().next();
            return proposeOrStage(state, statuses, Proposal.openingEpoch(number, map, state.members()));
        }
        return change(state, statuses, (Resolution.Agreed) resolution);
    }

    private static Transition change(CoordinatorState state, Collection<Status> statuses, Resolution.Agreed agreed) {
        MapId target = state.target();
        if (target == null || target.equals(agreed.committed().map())) {
            return same(state.withTarget(null).in(Phase.SETTLED));
        }
        StepId from = agreed.furthest().plus(state.leadSteps());
        Proposal proposal = Proposal.following(agreed.committed(), state.round().next(), target, from);
        return proposeOrStage(state, statuses, proposal);
    }

    private static Transition proposeOrStage(CoordinatorState state, Collection<Status> statuses, Proposal proposal) {
        List<Addressed> stages = new ArrayList<>();
        for (Status status : statuses) {
            if (!status.staged().contains(proposal.map())) {
                Stage order = new Stage(state.round(), status.incarnation(), proposal.map());
                stages.add(new Addressed(status.member(), order));
            }
        }
        return stages.isEmpty() ? propose(state, proposal) : new Transition(state.in(Phase.WAITING), stages);
    }

    private static Transition propose(CoordinatorState state, Proposal proposal) {
        CoordinatorState next = state.awaiting(Phase.PROPOSING, proposal.number(), proposal, null);
        return new Transition(next, toAll(next, member -> new Propose(proposal, incarnation(next, member))));
    }

    private static Transition onVote(CoordinatorState state, RankReply reply) {
        Proposal proposal = state.proposal();
        if (proposal == null) {
            return same(state);
        }
        if (reply instanceof Refused) {
            return decide(state, proposal, Decision.ABORT);
        }
        if (!(reply instanceof Accepted) || reply.incarnation() != incarnation(state, reply.member())) {
            return same(state);
        }
        CoordinatorState next = state.withReply(reply);
        return next.complete() ? decide(next, proposal, Decision.COMMIT) : same(next);
    }

    private static Transition decide(CoordinatorState state, Proposal proposal, Decision decision) {
        CoordinatorState next = state.awaiting(Phase.DECIDING, state.round(), proposal, decision);
        return new Transition(
                next, toAll(next, member -> new Decide(next.round(), incarnation(next, member), proposal, decision)));
    }

    private static Transition onAcknowledgement(CoordinatorState state, RankReply reply) {
        if (reply instanceof Refused refused && refused.reason() == Reason.WRONG_INCARNATION) {
            return same(state.in(Phase.WAITING));
        }
        if (!(reply instanceof Done)) {
            return same(state);
        }
        CoordinatorState next = state.withReply(reply);
        return next.complete() ? settle(next) : same(next);
    }

    private static Transition settle(CoordinatorState state) {
        Proposal proposal = state.proposal();
        boolean ownChange = proposal != null
                && !proposal.opensEpoch()
                && proposal.number().fencing() == state.round().fencing();
        if (ownChange) {
            return same(state.withTarget(null).in(Phase.SETTLED));
        }
        boolean retryLater = state.decision() == Decision.ABORT && proposal != null && proposal.opensEpoch();
        return retryLater ? same(state.in(Phase.WAITING)) : inquire(state);
    }

    private static long incarnation(CoordinatorState state, String member) {
        return state.incarnations().getOrDefault(member, -1L);
    }

    private static Transition same(CoordinatorState state) {
        return new Transition(state, List.of());
    }

    private static List<Addressed> toAll(CoordinatorState state, java.util.function.Function<String, MapOrder> order) {
        return state.members().stream()
                .map(member -> new Addressed(member, order.apply(member)))
                .toList();
    }
}
