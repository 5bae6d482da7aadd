package firwheel.experts.protocol;

import firwheel.experts.MapId;
import firwheel.experts.protocol.MapOrder.Decision;
import firwheel.experts.protocol.RankReply.Status;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Next action of a coordinator, derived from the statuses of all members in one round. It depends on the statuses only,
 * so that every coordinator reaches the same decision about a proposal.
 */
public sealed interface Resolution {
    /** The decision about {@code proposal} is determined, but not yet known to every member. */
    record Outcome(Proposal proposal, Decision decision) implements Resolution {}

    /**
     * A new epoch is needed, because a member lost its state or the members have changed.
     *
     * @param map map of the last proposal known to be committed; null if no member knows one
     */
    record NewEpoch(@Nullable MapId map) implements Resolution {}

    /**
     * All members have the same committed proposal and no proposal is pending.
     *
     * @param furthestStep next step of the most advanced member
     */
    record Agreed(Proposal committed, StepId furthestStep) implements Resolution {}

    /** Returns the action for the given statuses, one from each of {@code members}. */
    static Resolution of(List<String> members, Collection<Status> statuses) {
        Optional<Proposal> epochOpening = allPendingProposals(statuses).stream()
                .filter(p -> p.opensEpoch() && p.members().equals(members) && acceptedByAll(statuses, p))
                .findFirst();
        if (epochOpening.isPresent()) {
            return new Outcome(epochOpening.get(), Decision.COMMIT);
        }
        Proposal latest = latestCommitted(statuses);
        if (latest == null || !latest.members().equals(members)) {
            return new NewEpoch(latest == null ? null : latest.map());
        }
        boolean agreed = statuses.stream().allMatch(status -> latest.equals(status.committed()));
        return agreed ? resolveWithinEpoch(latest, statuses) : resolveLaggingMembers(latest, statuses);
    }

    private static Resolution resolveLaggingMembers(Proposal latest, Collection<Status> statuses) {
        boolean committedOrAcceptedByAll = statuses.stream()
                .allMatch(status -> latest.equals(status.committed())
                        || status.pendingProposals().contains(latest));
        return committedOrAcceptedByAll ? new Outcome(latest, Decision.COMMIT) : new NewEpoch(latest.map());
    }

    private static Resolution resolveWithinEpoch(Proposal committed, Collection<Status> statuses) {
        List<Proposal> undecided = allPendingProposals(statuses);
        if (undecided.isEmpty()) {
            return new Agreed(committed, highestNextStep(committed, statuses));
        }
        Proposal first = undecided.get(0);
        return new Outcome(first, acceptedByAll(statuses, first) ? Decision.COMMIT : Decision.ABORT);
    }

    private static List<Proposal> allPendingProposals(Collection<Status> statuses) {
        return statuses.stream()
                .flatMap(status -> status.pendingProposals().stream())
                .distinct()
                .sorted(Comparator.comparing(Proposal::number))
                .toList();
    }

    private static boolean acceptedByAll(Collection<Status> statuses, Proposal proposal) {
        return statuses.stream().allMatch(status -> status.pendingProposals().contains(proposal));
    }

    private static @Nullable Proposal latestCommitted(Collection<Status> statuses) {
        return statuses.stream()
                .map(Status::committed)
                .filter(Objects::nonNull)
                .max(Comparator.comparing(Proposal::number))
                .orElse(null);
    }

    private static StepId highestNextStep(Proposal committed, Collection<Status> statuses) {
        return statuses.stream()
                .map(Status::nextStep)
                .filter(Objects::nonNull)
                .max(Comparator.naturalOrder())
                .orElse(committed.firstStep());
    }
}
