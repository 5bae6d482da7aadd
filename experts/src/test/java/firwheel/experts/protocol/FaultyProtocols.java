package firwheel.experts.protocol;

import firwheel.experts.protocol.RankReply.Accepted;
import java.util.ArrayList;
import java.util.List;

/** Protocols with a seeded fault each, to show that the checks find it. */
final class FaultyProtocols {
    private static final RankProtocol CORRECT = new SwitchParticipant();

    private FaultyProtocols() {}

    /** Accepts, but goes on running steps as if it had promised nothing, until the decision arrives. */
    static RankProtocol skippingThePromise() {
        return (state, order) -> {
            boolean deciding = order instanceof MapOrder.Decide decide && decide.incarnation() == state.incarnation();
            RankState promised =
                    deciding ? state.withPendingProposals(List.of(((MapOrder.Decide) order).proposal())) : state;
            RankProtocol.Transition after = CORRECT.handle(promised, order);
            return new RankProtocol.Transition(
                    after.state().withPendingProposals(List.of()), after.reply(), after.mapToStage());
        };
    }

    /** Obeys every round, however old. */
    static RankProtocol ignoringFencing() {
        return (state, order) -> CORRECT.handle(state.withHighestRound(RoundNumber.NONE), order);
    }

    /** Commits as soon as most members have accepted. */
    static CoordinatorProtocol committingOnMajority(CoordinatorProtocol correct) {
        return new CoordinatorProtocol() {
            @Override
            public Transition onReply(CoordinatorState state, RankReply reply) {
                Transition after = correct.onReply(state, reply);
                boolean voting = after.state().phase() == CoordinatorState.Phase.PROPOSING;
                boolean majority =
                        2 * after.state().replies().size() > state.members().size();
                return voting && majority ? forgeRest(after) : after;
            }

            private Transition forgeRest(Transition after) {
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
