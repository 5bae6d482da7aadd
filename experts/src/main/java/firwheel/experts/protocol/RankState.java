package firwheel.experts.protocol;

import firwheel.experts.MapId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * State of the agent of a rank in the switch protocol. Kept in memory only: a restarted agent begins with {@link
 * #restarted} and runs no step until a proposal that opens a new epoch is committed.
 *
 * @param member endpoint of the agent
 * @param incarnation random identifier of the agent's process
 * @param highestRound highest round received so far
 * @param committed last proposal known to be committed; null after a restart
 * @param previousMap map for steps before {@code committed.firstStep()} in the same epoch; null if there are none
 * @param nextStep first step that the rank has not started; null after a restart
 * @param pendingProposals proposals accepted and not yet decided, lowest number first: at most one within the epoch and
 *     one that opens a new epoch
 * @param staged maps whose experts are loaded on the rank
 */
public record RankState(
        String member,
        long incarnation,
        RoundNumber highestRound,
        @Nullable Proposal committed,
        @Nullable MapId previousMap,
        @Nullable StepId nextStep,
        List<Proposal> pendingProposals,
        Set<MapId> staged) {
    public RankState {
        pendingProposals = List.copyOf(pendingProposals);
        staged = Set.copyOf(staged);
    }

    /**
     * Returns the state of an agent that has just started.
     *
     * @param fencingNumber current fencing number of the group's lease, read from the platform
     */
    public static RankState restarted(String member, long incarnation, long fencingNumber) {
        return new RankState(
                member, incarnation, new RoundNumber(fencingNumber, 0), null, null, null, List.of(), Set.of());
    }

    /** Returns the step that the rank may start now, with its map; empty while the rank must wait. */
    public Optional<StepRun> nextRunnableStep() {
        if (committed == null || nextStep == null || isBlocked(nextStep)) {
            return Optional.empty();
        }
        if (nextStep.compareTo(committed.firstStep()) >= 0) {
            return Optional.of(new StepRun(nextStep, committed.map()));
        }
        return previousMap == null ? Optional.empty() : Optional.of(new StepRun(nextStep, previousMap));
    }

    /** Returns the state after the rank has started the step returned by {@link #nextRunnableStep}. */
    public RankState afterStarting(StepRun run) {
        return new RankState(
                member,
                incarnation,
                highestRound,
                committed,
                previousMap,
                run.step().plus(1),
                pendingProposals,
                staged);
    }

    /** Returns the state after the experts of {@code map} have been loaded. */
    public RankState withStaged(MapId map) {
        Set<MapId> maps = new HashSet<>(staged);
        maps.add(map);
        return new RankState(
                member, incarnation, highestRound, committed, previousMap, nextStep, pendingProposals, maps);
    }

    /** Returns the state after the experts of {@code map} were unloaded; unchanged if the map is in use or pending. */
    public RankState withoutStaged(MapId map) {
        if (isInUse(map)) {
            return this;
        }
        Set<MapId> maps = new HashSet<>(staged);
        maps.remove(map);
        return new RankState(
                member, incarnation, highestRound, committed, previousMap, nextStep, pendingProposals, maps);
    }

    /** Returns the state with {@code round} as the highest round received so far. */
    public RankState withHighestRound(RoundNumber round) {
        return new RankState(member, incarnation, round, committed, previousMap, nextStep, pendingProposals, staged);
    }

    /** Returns the state with {@code pending} as the accepted and undecided proposals. */
    public RankState withPendingProposals(List<Proposal> pending) {
        return new RankState(member, incarnation, highestRound, committed, previousMap, nextStep, pending, staged);
    }

    /** Returns whether {@code proposal} is accepted and not yet decided. */
    public boolean hasPending(Proposal proposal) {
        return pendingProposals.contains(proposal);
    }

    /** Returns the state with {@code proposal} pending; if it opens an epoch, it replaces a pending one that does. */
    RankState withPendingProposal(Proposal proposal) {
        List<Proposal> pending = new ArrayList<>(pendingProposals);
        pending.removeIf(other -> other.opensEpoch() && proposal.opensEpoch());
        pending.add(proposal);
        return withPendingProposals(pending);
    }

    /** Returns the state after the pending {@code proposal} was committed. */
    RankState withCommitted(Proposal proposal) {
        List<Proposal> pending = new ArrayList<>(pendingProposals);
        pending.removeIf(other -> other.number().compareTo(proposal.number()) <= 0);
        MapId previous = proposal.opensEpoch() || committed == null ? null : committed.map();
        StepId next = proposal.opensEpoch() ? proposal.firstStep() : nextStep;
        return new RankState(member, incarnation, highestRound, proposal, previous, next, pending, staged);
    }

    private boolean isBlocked(StepId step) {
        return pendingProposals.stream()
                .anyMatch(undecided -> undecided.firstStep().compareTo(step) <= 0);
    }

    private boolean isInUse(MapId map) {
        boolean current = committed != null && committed.map().equals(map);
        return current
                || map.equals(previousMap)
                || pendingProposals.stream().anyMatch(p -> p.map().equals(map));
    }

    /** A step and the map under which it runs. */
    public record StepRun(StepId step, MapId map) {}
}
