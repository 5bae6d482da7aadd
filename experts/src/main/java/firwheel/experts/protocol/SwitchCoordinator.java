package firwheel.experts.protocol;

import firwheel.experts.MapId;
import firwheel.experts.protocol.CoordinatorState.Phase;
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
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Coordinator of the switch protocol. It queries all members, resolves proposals that a predecessor left undecided,
 * stages the desired map, proposes it, and commits it if every member accepts. After any timeout it starts over with a
 * query.
 */
public final class SwitchCoordinator implements CoordinatorProtocol {
    /**
     * Returns the initial state and orders of a coordinator.
     *
     * @param fencingNumber fencing number of the coordinator's lease
     * @param members endpoints of the ranks' agents, ordered by rank
     * @param desiredMap map to switch to; null if only undecided proposals are to be resolved
     * @param initialMap map to use if no member knows a committed one
     * @param leadSteps number of steps between the most advanced rank and the first step of a proposal
     */
    public Transition start(
            long fencingNumber, List<String> members, @Nullable MapId desiredMap, MapId initialMap, int leadSteps) {
        CoordinatorState state = new CoordinatorState(
                new RoundNumber(fencingNumber, 0),
                members,
                desiredMap,
                initialMap,
                leadSteps,
                Phase.SETTLED,
                Map.of(),
                Map.of(),
                null,
                null);
        return queryStatus(state);
    }

    /** Starts switching the group of {@code state} to {@code desiredMap}. */
    public Transition changeDesiredMap(CoordinatorState state, MapId desiredMap) {
        return queryStatus(state.withDesiredMap(desiredMap));
    }

    @Override
    public Transition onTimeout(CoordinatorState state) {
        return state.phase() == Phase.FENCED ? new Transition(state, List.of()) : queryStatus(state);
    }

    @Override
    public Transition onReply(CoordinatorState state, RankReply reply) {
        if (isFenced(state, reply)) {
            return new Transition(state.withPhase(Phase.FENCED), List.of());
        }
        if (!reply.round().equals(state.round()) || !state.members().contains(reply.member())) {
            return new Transition(state, List.of());
        }
        return switch (state.phase()) {
            case QUERYING -> reply instanceof Status ? onStatus(state.withReply(reply)) : unchanged(state);
            case PROPOSING -> onVote(state, reply);
            case DECIDING -> onAcknowledgement(state, reply);
            case WAITING, SETTLED, FENCED -> unchanged(state);
        };
    }

    private static boolean isFenced(CoordinatorState state, RankReply reply) {
        return reply instanceof Refused refused
                && refused.highestRound().fencingNumber() > state.round().fencingNumber();
    }

    private static Transition queryStatus(CoordinatorState state) {
        RoundNumber round = state.round().next();
        CoordinatorState next = state.startPhase(Phase.QUERYING, round, null, null);
        return new Transition(next, toAll(next, member -> new QueryStatus(round)));
    }

    private static Transition onStatus(CoordinatorState state) {
        if (!state.allMembersReplied()) {
            return unchanged(state);
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
        return proposeDesiredMap(state, statuses, (Resolution.Agreed) resolution);
    }

    private static Transition proposeDesiredMap(
            CoordinatorState state, Collection<Status> statuses, Resolution.Agreed agreed) {
        MapId desiredMap = state.desiredMap();
        if (desiredMap == null || desiredMap.equals(agreed.committed().map())) {
            return unchanged(state.withDesiredMap(null).withPhase(Phase.SETTLED));
        }
        StepId firstStep = agreed.furthestStep().plus(state.leadSteps());
        Proposal proposal = Proposal.following(agreed.committed(), state.round().next(), desiredMap, firstStep);
        return proposeOrStage(state, statuses, proposal);
    }

    private static Transition proposeOrStage(CoordinatorState state, Collection<Status> statuses, Proposal proposal) {
        List<AddressedOrder> stages = new ArrayList<>();
        for (Status status : statuses) {
            if (!status.staged().contains(proposal.map())) {
                Stage order = new Stage(state.round(), status.incarnation(), proposal.map());
                stages.add(new AddressedOrder(status.member(), order));
            }
        }
        return stages.isEmpty() ? propose(state, proposal) : new Transition(state.withPhase(Phase.WAITING), stages);
    }

    private static Transition propose(CoordinatorState state, Proposal proposal) {
        CoordinatorState next = state.startPhase(Phase.PROPOSING, proposal.number(), proposal, null);
        return new Transition(next, toAll(next, member -> new Propose(proposal, incarnation(next, member))));
    }

    private static Transition onVote(CoordinatorState state, RankReply reply) {
        Proposal proposal = state.proposal();
        if (proposal == null) {
            return unchanged(state);
        }
        if (reply instanceof Refused) {
            return decide(state, proposal, Decision.ABORT);
        }
        if (!(reply instanceof Accepted) || reply.incarnation() != incarnation(state, reply.member())) {
            return unchanged(state);
        }
        CoordinatorState next = state.withReply(reply);
        return next.allMembersReplied() ? decide(next, proposal, Decision.COMMIT) : unchanged(next);
    }

    private static Transition decide(CoordinatorState state, Proposal proposal, Decision decision) {
        CoordinatorState next = state.startPhase(Phase.DECIDING, state.round(), proposal, decision);
        return new Transition(
                next, toAll(next, member -> new Decide(next.round(), incarnation(next, member), proposal, decision)));
    }

    private static Transition onAcknowledgement(CoordinatorState state, RankReply reply) {
        if (reply instanceof Refused refused && refused.reason() == Reason.WRONG_INCARNATION) {
            return unchanged(state.withPhase(Phase.WAITING));
        }
        if (!(reply instanceof Acknowledged)) {
            return unchanged(state);
        }
        CoordinatorState next = state.withReply(reply);
        return next.allMembersReplied() ? onAllAcknowledged(next) : unchanged(next);
    }

    private static Transition onAllAcknowledged(CoordinatorState state) {
        Proposal proposal = state.proposal();
        boolean ownProposal = proposal != null
                && !proposal.opensEpoch()
                && proposal.number().fencingNumber() == state.round().fencingNumber();
        if (ownProposal) {
            return unchanged(state.withDesiredMap(null).withPhase(Phase.SETTLED));
        }
        boolean retryLater = state.decision() == Decision.ABORT && proposal != null && proposal.opensEpoch();
        return retryLater ? unchanged(state.withPhase(Phase.WAITING)) : queryStatus(state);
    }

    private static long incarnation(CoordinatorState state, String member) {
        return state.incarnations().getOrDefault(member, -1L);
    }

    private static Transition unchanged(CoordinatorState state) {
        return new Transition(state, List.of());
    }

    private static List<AddressedOrder> toAll(
            CoordinatorState state, java.util.function.Function<String, MapOrder> order) {
        return state.members().stream()
                .map(member -> new AddressedOrder(member, order.apply(member)))
                .toList();
    }
}
