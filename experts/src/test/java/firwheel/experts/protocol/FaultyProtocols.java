package firwheel.experts.protocol;

import firwheel.experts.protocol.RankReply.Accepted;
import java.util.ArrayList;
import java.util.List;

/** Protocol implementations with one seeded fault each, which the tests must detect. */
final class FaultyProtocols {
    private static final RankProtocol CORRECT = new SwitchParticipant();

    private FaultyProtocols() {}

    /** Accepts proposals but does not stop before their first step while the decision is pending. */
    static RankProtocol ignoringPendingProposals() {
        return (state, order) -> {
            boolean deciding = order instanceof MapOrder.Decide decide && decide.incarnation() == state.incarnation();
            RankState withPending =
                    deciding ? state.withPendingProposals(List.of(((MapOrder.Decide) order).proposal())) : state;
            RankProtocol.Transition after = CORRECT.handle(withPending, order);
            return new RankProtocol.Transition(
                    after.state().withPendingProposals(List.of()), after.reply(), after.mapToStage());
        };
    }

    /** Accepts orders of any round, even of rounds lower than one already received. */
    static RankProtocol ignoringFencing() {
        return (state, order) -> CORRECT.handle(state.withHighestRound(RoundNumber.NONE), order);
    }

    /** Commits as soon as a majority of the members have accepted. */
    static CoordinatorProtocol committingOnMajority(CoordinatorProtocol correct) {
        return new CoordinatorProtocol() {
            @Override
            public Transition onReply(CoordinatorState state, RankReply reply) {
                Transition after = correct.onReply(state, reply);
                boolean voting = after.state().phase() == CoordinatorState.Phase.PROPOSING;
                boolean majority =
                        2 * after.state().replies().size() > state.members().size();
                return voting && majority ? forgeMissingVotes(after) : after;
            }

            private Transition forgeMissingVotes(Transition after) {
                CoordinatorState state = after.state();
                List<AddressedOrder> orders = new ArrayList<>(after.orders());
                for (String member : state.members()) {
                    long incarnation = state.incarnations().getOrDefault(member, -1L);
                    Transition next = correct.onReply(state, new Accepted(member, incarnation, state.round()));
                    state = next.state();
                    orders.addAll(next.orders());
                }
                return new Transition(state, orders);
            }

            @Override
            public Transition onTimeout(CoordinatorState state) {
                return correct.onTimeout(state);
            }
        };
    }
}
