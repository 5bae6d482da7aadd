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
 * Model checker that explores all schedules of the switch protocol. A sent order may be delivered at any later time or
 * never, which covers loss, delay and reordering; further faults occur if allowed. Replies reach their coordinator
 * immediately: delaying or losing one only delays or loses the orders that follow it. The parts of a state are
 * interned, so that a state consists of a few numbers.
 */
final class SwitchModel {
    private static final MapId INITIAL_MAP = new MapId("m0");
    private static final List<MapId> MAPS = List.of(INITIAL_MAP, new MapId("m1"), new MapId("m2"));
    private static final List<String> MEMBERS = List.of("a", "b", "c");
    private static final long LAST_STEP = 0; // ranks start no later step, which bounds the number of states
    private static final int FIRST_FENCING = 2; // fencing number of the first coordinator

    private final RankProtocol rankProtocol;
    private final CoordinatorProtocol coordinatorProtocol;
    private final Interner<RankState> ranks = new Interner<>();
    private final Interner<CoordinatorState> coordinators = new Interner<>();
    private final Interner<AddressedOrder> messages = new Interner<>();
    private final Interner<BitSet> networks = new Interner<>();
    private final Interner<Map<StepId, MapId>> stepMaps = new Interner<>();
    private final Set<GlobalState> visited = new HashSet<>();
    private final ArrayDeque<GlobalState> frontier = new ArrayDeque<>();
    private final Set<Fault> allowedFaults;
    private final Map<Long, RankProtocol.Transition> transitions = new HashMap<>();
    private long commits;

    /** Kinds of faults, each of which occurs at most once per schedule. */
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

    /**
     * Interned states of the three ranks, the coordinators, the network and the maps of the steps so far. A coordinator
     * that has not started is -1; {@code usedFaults} has one bit for each fault that occurred.
     */
    private record GlobalState(
            int a,
            int b,
            int c,
            int firstCoordinator,
            int secondCoordinator,
            int networkId,
            int stepMapsId,
            int usedFaults) {
        int rank(int index) {
            return index == 0 ? a : index == 1 ? b : c;
        }

        GlobalState withRank(int index, int rank) {
            return new GlobalState(
                    index == 0 ? rank : a,
                    index == 1 ? rank : b,
                    index == 2 ? rank : c,
                    firstCoordinator,
                    secondCoordinator,
                    networkId,
                    stepMapsId,
                    usedFaults);
        }

        GlobalState withCoordinator(int index, int state) {
            return new GlobalState(
                    a,
                    b,
                    c,
                    index == 0 ? state : firstCoordinator,
                    index == 1 ? state : secondCoordinator,
                    networkId,
                    stepMapsId,
                    usedFaults);
        }

        GlobalState withNetwork(int id) {
            return new GlobalState(a, b, c, firstCoordinator, secondCoordinator, id, stepMapsId, usedFaults);
        }

        GlobalState withStepMaps(int id) {
            return new GlobalState(a, b, c, firstCoordinator, secondCoordinator, networkId, id, usedFaults);
        }

        GlobalState withFault(Fault fault) {
            return new GlobalState(
                    a, b, c, firstCoordinator, secondCoordinator, networkId, stepMapsId, usedFaults | fault.bit);
        }
    }

    SwitchModel(RankProtocol rankProtocol, CoordinatorProtocol coordinatorProtocol, Set<Fault> faults) {
        this.allowedFaults = faults;
        this.rankProtocol = rankProtocol;
        this.coordinatorProtocol = coordinatorProtocol;
    }

    /** Returns the number of reachable states; fails if a step ran under two maps. */
    long explore() {
        Proposal base = Proposal.openingEpoch(new RoundNumber(1, 1), INITIAL_MAP, MEMBERS);
        int[] start =
                MEMBERS.stream().mapToInt(m -> ranks.id(runningRank(m, base))).toArray();
        CoordinatorProtocol.Transition first = startCoordinator(2, 1);
        int none = -1;
        visit(send(
                new GlobalState(
                        start[0],
                        start[1],
                        start[2],
                        coordinators.id(first.state()),
                        none,
                        networks.id(new BitSet()),
                        stepMaps.id(Map.of()),
                        0),
                first.orders()));
        while (!frontier.isEmpty()) {
            expand(frontier.removeLast());
        }
        return visited.size();
    }

    long commits() {
        return commits;
    }

    private static RankState runningRank(String member, Proposal base) {
        return new RankState(
                member, 1, new RoundNumber(1, 9), base, null, base.firstStep(), List.of(), Set.copyOf(MAPS));
    }

    private static CoordinatorProtocol.Transition startCoordinator(long fencing, int target) {
        return new SwitchCoordinator().start(fencing, MEMBERS, MAPS.get(target), INITIAL_MAP, 0);
    }

    private void visit(GlobalState reached) {
        GlobalState world = reached.withNetwork(networks.id(withoutFenced(reached)));
        if (visited.add(world)) {
            frontier.add(world);
        }
    }

    private boolean allows(GlobalState world, Fault fault) {
        return allowedFaults.contains(fault) && (world.usedFaults() & fault.bit) == 0;
    }

    private static BitSet without(BitSet sent, int id) {
        BitSet rest = (BitSet) sent.clone();
        rest.clear(id);
        return rest;
    }

    /** Returns the undelivered orders without those of fenced rounds, which the rank refuses at any later time too. */
    private BitSet withoutFenced(GlobalState world) {
        BitSet sent = (BitSet) networks.value(world.networkId()).clone();
        for (int id = sent.nextSetBit(0); id >= 0; id = sent.nextSetBit(id + 1)) {
            int rank = world.rank(MEMBERS.indexOf(messages.value(id).member()));
            if (transition(rank, id).reply() instanceof RankReply.Refused refused
                    && refused.reason() == RankReply.Reason.FENCED
                    && refused.highestRound().compareTo(refused.round()) > 0) {
                sent.clear(id);
            }
        }
        return sent;
    }

    private RankProtocol.Transition transition(int rank, int message) {
        return transitions.computeIfAbsent(
                ((long) rank << 32) | message,
                key -> rankProtocol.handle(
                        ranks.value(rank), messages.value(message).order()));
    }

    private void expand(GlobalState world) {
        BitSet sent = networks.value(world.networkId());
        for (int id = sent.nextSetBit(0); id >= 0; id = sent.nextSetBit(id + 1)) {
            deliver(world.withNetwork(networks.id(without(sent, id))), id);
            if (allows(world, Fault.DUPLICATE)) {
                deliver(world.withFault(Fault.DUPLICATE), id);
            }
        }
        for (int rank = 0; rank < MEMBERS.size(); rank++) {
            runStep(world, rank);
            restart(world, rank);
        }
        for (int index = 0; index < 2; index++) {
            timeout(world, index);
        }
        if (world.secondCoordinator() < 0 && allowedFaults.contains(Fault.SUCCESSOR)) {
            CoordinatorProtocol.Transition second = startCoordinator(3, 2);
            visit(send(world.withCoordinator(1, coordinators.id(second.state())), second.orders()));
        }
    }

    private void deliver(GlobalState world, int message) {
        int index = MEMBERS.indexOf(messages.value(message).member());
        RankState before = ranks.value(world.rank(index));
        RankProtocol.Transition after = transition(world.rank(index), message);
        if (!Objects.equals(before.committed(), after.state().committed())) {
            commits++;
        }
        visit(deliverReply(world.withRank(index, ranks.id(after.state())), after.reply()));
    }

    private GlobalState deliverReply(GlobalState world, RankReply reply) {
        int index = (int) reply.round().fencingNumber() - FIRST_FENCING;
        CoordinatorState state = coordinators.value(index == 0 ? world.firstCoordinator() : world.secondCoordinator());
        CoordinatorProtocol.Transition after = coordinatorProtocol.onReply(state, reply);
        return send(world.withCoordinator(index, coordinators.id(after.state())), after.orders());
    }

    private void runStep(GlobalState world, int rank) {
        RankState state = ranks.value(world.rank(rank));
        Optional<RankState.StepRun> run = state.nextRunnableStep();
        if (run.isEmpty() || run.get().step().index() > LAST_STEP) {
            return;
        }
        Map<StepId, MapId> maps = new HashMap<>(stepMaps.value(world.stepMapsId()));
        MapId earlierMap = maps.put(run.get().step(), run.get().map());
        if (earlierMap != null && !earlierMap.equals(run.get().map())) {
            throw new StepMapChecker.TwoMapsException(run.get() + " also ran under " + earlierMap);
        }
        visit(world.withRank(rank, ranks.id(state.afterStarting(run.get()))).withStepMaps(stepMaps.id(maps)));
    }

    private void restart(GlobalState world, int rank) {
        if (allows(world, Fault.RESTART)) {
            long fencing = world.secondCoordinator() < 0 ? 2 : 3;
            RankState state = RankState.restarted(MEMBERS.get(rank), 2, fencing);
            for (MapId map : MAPS) {
                state = state.withStaged(map);
            }
            visit(world.withRank(rank, ranks.id(state)).withFault(Fault.RESTART));
        }
    }

    private void timeout(GlobalState world, int index) {
        int id = index == 0 ? world.firstCoordinator() : world.secondCoordinator();
        if (id >= 0 && allows(world, Fault.TIMEOUT)) {
            CoordinatorProtocol.Transition after = coordinatorProtocol.onTimeout(coordinators.value(id));
            GlobalState next = world.withCoordinator(index, coordinators.id(after.state()));
            visit(send(next, after.orders()).withFault(Fault.TIMEOUT));
        }
    }

    private GlobalState send(GlobalState world, List<AddressedOrder> sent) {
        if (sent.isEmpty()) {
            return world;
        }
        BitSet network = (BitSet) networks.value(world.networkId()).clone();
        sent.forEach(message -> network.set(messages.id(message)));
        return world.withNetwork(networks.id(network));
    }

    /** Assigns equal values the same number. */
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
