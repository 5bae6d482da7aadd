package firwheel.experts.protocol;

import firwheel.experts.MapId;
import firwheel.experts.protocol.CoordinatorProtocol.AddressedOrder;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Explores all schedules of the protocol. A message once sent may be delivered at any later time or never, which covers
 * loss, delay and reordering; other faults happen as the budget allows. Replies
 * reach their coordinator at once: to delay or lose one only delays or loses the orders that follow it. Parts of a state are interned, so that a state is a
 * few numbers.
 */
final class SwitchModel {
    private static final MapId OLD = new MapId("m0");
    private static final List<MapId> MAPS = List.of(OLD, new MapId("m1"), new MapId("m2"));
    private static final List<String> MEMBERS = List.of("a", "b", "c");
    private static final long LAST_STEP = 0;
    private static final int FIRST_FENCING = 2;

    private final RankProtocol rankProtocol;
    private final CoordinatorProtocol coordinatorProtocol;
    private final Interner<RankState> ranks = new Interner<>();
    private final Interner<CoordinatorState> coordinators = new Interner<>();
    private final Interner<AddressedOrder> messages = new Interner<>();
    private final Interner<BitSet> networks = new Interner<>();
    private final Interner<Map<StepId, MapId>> ledgers = new Interner<>();
    private final Set<World> seen = new HashSet<>();
    private final ArrayDeque<World> open = new ArrayDeque<>();
    private final Set<Fault> budget;
    private final Map<Long, RankProtocol.Transition> effects = new HashMap<>();
    private long commits;

    /** Faults, each of which happens at most once in a schedule. */
    enum Fault {
        SUCCESSOR(1),
        RESTART(2),
        TIMEOUT(4),
        DUPLICATE(8);

        private final int bit;

        Fault(int bit) {
            this.bit = bit;
        }
    }

    /** Reachable state; {@code spent} holds one bit for each fault that happened. */
    private record World(int a, int b, int c, int first, int second, int network, int ledger, int spent) {
        int rank(int index) {
            return index == 0 ? a : index == 1 ? b : c;
        }

        World withRank(int index, int rank) {
            return new World(
                    index == 0 ? rank : a,
                    index == 1 ? rank : b,
                    index == 2 ? rank : c,
                    first,
                    second,
                    network,
                    ledger,
                    spent);
        }

        World withCoordinator(int index, int state) {
            return new World(a, b, c, index == 0 ? state : first, index == 1 ? state : second, network, ledger, spent);
        }

        World withNetwork(int id) {
            return new World(a, b, c, first, second, id, ledger, spent);
        }

        World withLedger(int id) {
            return new World(a, b, c, first, second, network, id, spent);
        }

        World spending(Fault fault) {
            return new World(a, b, c, first, second, network, ledger, spent | fault.bit);
        }
    }

    SwitchModel(RankProtocol rankProtocol, CoordinatorProtocol coordinatorProtocol, Set<Fault> budget) {
        this.budget = budget;
        this.rankProtocol = rankProtocol;
        this.coordinatorProtocol = coordinatorProtocol;
    }

    /** Returns the number of reachable states; fails where a step ran under two maps. */
    long explore() {
        Proposal base = Proposal.openingEpoch(new RoundNumber(1, 1), OLD, MEMBERS);
        int[] start = MEMBERS.stream().mapToInt(m -> ranks.id(running(m, base))).toArray();
        CoordinatorProtocol.Transition first = begin(2, 1);
        int none = -1;
        visit(send(
                new World(
                        start[0],
                        start[1],
                        start[2],
                        coordinators.id(first.state()),
                        none,
                        networks.id(new BitSet()),
                        ledgers.id(Map.of()),
                        0),
                first.orders()));
        while (!open.isEmpty()) {
            expand(open.removeLast());
        }
        return seen.size();
    }

    long commits() {
        return commits;
    }

    private static RankState running(String member, Proposal base) {
        return new RankState(
                member, 1, new RoundNumber(1, 9), base, null, base.firstStep(), List.of(), Set.copyOf(MAPS));
    }

    private static CoordinatorProtocol.Transition begin(long fencing, int target) {
        return new SwitchCoordinator().start(fencing, MEMBERS, MAPS.get(target), OLD, 0);
    }

    private void visit(World reached) {
        World world = reached.withNetwork(networks.id(live(reached)));
        if (seen.add(world)) {
            open.add(world);
        }
    }

    private boolean allows(World world, Fault fault) {
        return budget.contains(fault) && (world.spent() & fault.bit) == 0;
    }

    private static BitSet without(BitSet sent, int id) {
        BitSet rest = (BitSet) sent.clone();
        rest.clear(id);
        return rest;
    }

    /** Drops orders that their rank refuses as overtaken; it will refuse them at any later time too. */
    private BitSet live(World world) {
        BitSet sent = (BitSet) networks.value(world.network()).clone();
        for (int id = sent.nextSetBit(0); id >= 0; id = sent.nextSetBit(id + 1)) {
            int rank = world.rank(MEMBERS.indexOf(messages.value(id).member()));
            if (effect(rank, id).reply() instanceof RankReply.Refused refused
                    && refused.reason() == RankReply.Reason.FENCED
                    && refused.highestRound().compareTo(refused.round()) > 0) {
                sent.clear(id);
            }
        }
        return sent;
    }

    private RankProtocol.Transition effect(int rank, int message) {
        return effects.computeIfAbsent(
                ((long) rank << 32) | message,
                key -> rankProtocol.handle(
                        ranks.value(rank), messages.value(message).order()));
    }

    private void expand(World world) {
        BitSet sent = networks.value(world.network());
        for (int id = sent.nextSetBit(0); id >= 0; id = sent.nextSetBit(id + 1)) {
            deliver(world.withNetwork(networks.id(without(sent, id))), id);
            if (allows(world, Fault.DUPLICATE)) {
                deliver(world.spending(Fault.DUPLICATE), id);
            }
        }
        for (int rank = 0; rank < MEMBERS.size(); rank++) {
            runStep(world, rank);
            restart(world, rank);
        }
        for (int index = 0; index < 2; index++) {
            timeout(world, index);
        }
        if (world.second() < 0 && budget.contains(Fault.SUCCESSOR)) {
            CoordinatorProtocol.Transition second = begin(3, 2);
            visit(send(world.withCoordinator(1, coordinators.id(second.state())), second.orders()));
        }
    }

    private void deliver(World world, int message) {
        int index = MEMBERS.indexOf(messages.value(message).member());
        RankState before = ranks.value(world.rank(index));
        RankProtocol.Transition after = effect(world.rank(index), message);
        if (!Objects.equals(before.committed(), after.state().committed())) {
            commits++;
        }
        visit(reply(world.withRank(index, ranks.id(after.state())), after.reply()));
    }

    private World reply(World world, RankReply reply) {
        int index = (int) reply.round().fencingNumber() - FIRST_FENCING;
        CoordinatorState state = coordinators.value(index == 0 ? world.first() : world.second());
        CoordinatorProtocol.Transition after = coordinatorProtocol.onReply(state, reply);
        return send(world.withCoordinator(index, coordinators.id(after.state())), after.orders());
    }

    private void runStep(World world, int rank) {
        RankState state = ranks.value(world.rank(rank));
        Optional<RankState.StepRun> run = state.nextRunnableStep();
        if (run.isEmpty() || run.get().step().index() > LAST_STEP) {
            return;
        }
        Map<StepId, MapId> maps = new HashMap<>(ledgers.value(world.ledger()));
        MapId other = maps.put(run.get().step(), run.get().map());
        if (other != null && !other.equals(run.get().map())) {
            throw new StepLedger.TwoMapsException(run.get() + " also ran under " + other);
        }
        visit(world.withRank(rank, ranks.id(state.afterStarting(run.get()))).withLedger(ledgers.id(maps)));
    }

    private void restart(World world, int rank) {
        if (allows(world, Fault.RESTART)) {
            long fencing = world.second() < 0 ? 2 : 3;
            RankState state = RankState.restarted(MEMBERS.get(rank), 2, fencing);
            for (MapId map : MAPS) {
                state = state.withStaged(map);
            }
            visit(world.withRank(rank, ranks.id(state)).spending(Fault.RESTART));
        }
    }

    private void timeout(World world, int index) {
        int id = index == 0 ? world.first() : world.second();
        if (id >= 0 && allows(world, Fault.TIMEOUT)) {
            CoordinatorProtocol.Transition after = coordinatorProtocol.onTimeout(coordinators.value(id));
            World next = world.withCoordinator(index, coordinators.id(after.state()));
            visit(send(next, after.orders()).spending(Fault.TIMEOUT));
        }
    }

    private World send(World world, List<AddressedOrder> sent) {
        if (sent.isEmpty()) {
            return world;
        }
        BitSet network = (BitSet) networks.value(world.network()).clone();
        sent.forEach(message -> network.set(messages.id(message)));
        return world.withNetwork(networks.id(network));
    }

    /** Gives equal values the same number. */
    private static final class Interner<T> {
        private final Map<T, Integer> ids = new HashMap<>();
        private final List<T> values = new ArrayList<>();

        int id(T value) {
            Integer known = ids.get(value);
            if (known != null) {
                return known;
            }
            ids.put(value, values.size());
            values.add(value);
            return values.size() - 1;
        }

        T value(int id) {
            return values.get(id);
        }
    }
}
