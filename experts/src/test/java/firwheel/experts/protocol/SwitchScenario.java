package firwheel.experts.protocol;

import firwheel.experts.MapId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/** One random schedule with faults, then recovery without faults under one new coordinator. */
final class SwitchScenario {
    private static final int FAULTY_ACTIONS = 600;
    private static final int MAX_RECOVERY_ACTIONS = 6_000;
    private static final int STEPS_AFTER_RECOVERY = 4;
    private static final MapId INITIAL_MAP = new MapId("m0");

    private final Random random;
    private final RankProtocol rankProtocol;
    private final CoordinatorProtocol coordinatorProtocol;
    private final SwitchCoordinator coordinatorStarter = new SwitchCoordinator();
    private final boolean lockStep;
    private final int faultsPerThousand;
    private final List<String> members = new ArrayList<>();
    private final TreeMap<String, RankState> ranks = new TreeMap<>();
    private final TreeMap<Long, CoordinatorState> coordinators = new TreeMap<>();
    private final List<Object> network = new ArrayList<>();
    private final StepMapChecker stepMaps = new StepMapChecker();
    private final Set<RoundNumber> committed = new HashSet<>();
    private final Set<RoundNumber> aborted = new HashSet<>();
    private long fencing;
    private long incarnations;

    SwitchScenario(long seed, RankProtocol rankProtocol, CoordinatorProtocol coordinatorProtocol) {
        this.random = new Random(seed);
        this.rankProtocol = rankProtocol;
        this.coordinatorProtocol = coordinatorProtocol;
        this.lockStep = random.nextBoolean();
        this.faultsPerThousand = 2 << random.nextInt(6);
        int size = 2 + random.nextInt(4);
        for (int rank = 0; rank < size; rank++) {
            members.add("rank" + rank);
            restart("rank" + rank);
        }
    }

    /** Runs the schedule; fails if a step ran under two maps or the group does not recover. */
    void run() {
        boolean startsRunning = random.nextInt(8) > 0;
        if (startsRunning) {
            recover();
        }
        for (int action = 0; action < FAULTY_ACTIONS; action++) {
            randomAction();
        }
        recover();
        Set<RoundNumber> both = new HashSet<>(committed);
        both.retainAll(aborted);
        if (!both.isEmpty()) {
            throw new IllegalStateException("proposals both committed and aborted: " + both);
        }
    }

    Set<RoundNumber> committed() {
        return committed;
    }

    private void randomAction() {
        if (random.nextInt(1000) < faultsPerThousand) {
            injectFault(random.nextInt(10));
        } else if (random.nextInt(3) == 0) {
            runStep(anyMember(), lockStep);
        } else if (!network.isEmpty()) {
            deliver(network.remove(random.nextInt(network.size())));
        }
    }

    /**
     * Injects a fault: kind 0 restarts a rank, 1 and 2 start a coordinator, 3 to 5 time one out, 6 and 7 lose a
     * message, 8 and 9 duplicate one.
     */
    private void injectFault(int kind) {
        if (kind == 0) {
            restart(anyMember());
        } else if (kind <= 2) {
            newCoordinator();
        } else if (kind <= 5 && !coordinators.isEmpty()) {
            timeout(anyCoordinator());
        } else if (!network.isEmpty()) {
            int index = random.nextInt(network.size());
            Object duplicated = network.get(index);
            if (kind <= 7) {
                network.remove(index);
            } else {
                deliver(duplicated);
            }
        }
    }

    private void recover() {
        newCoordinator();
        long current = fencing;
        List<StepId> start = new ArrayList<>();
        for (int action = 0; action < MAX_RECOVERY_ACTIONS; action++) {
            if (!network.isEmpty()) {
                deliver(network.remove(random.nextInt(network.size())));
            } else {
                timeout(current);
            }
            members.forEach(member -> runStep(member, true));
            boolean running = ranks.values().stream().allMatch(rank -> rank.nextStep() != null);
            if (running && start.isEmpty() && network.isEmpty()) {
                ranks.values().forEach(rank -> start.add(java.util.Objects.requireNonNull(rank.nextStep())));
            }
            if (!start.isEmpty() && advanced(start)) {
                return;
            }
        }
        throw new IllegalStateException("group did not recover: " + ranks + coordinators.get(current));
    }

    private boolean advanced(List<StepId> start) {
        int index = 0;
        for (RankState rank : ranks.values()) {
            StepId next = rank.nextStep();
            if (next == null || next.compareTo(start.get(index++).plus(STEPS_AFTER_RECOVERY)) < 0) {
                return false;
            }
        }
        return true;
    }

    private void deliver(Object message) {
        if (message instanceof CoordinatorProtocol.AddressedOrder addressed) {
            deliverOrder(addressed);
        } else if (message instanceof RankReply reply
                && coordinators.containsKey(reply.round().fencingNumber())) {
            long receiver = reply.round().fencingNumber();
            apply(receiver, coordinatorProtocol.onReply(state(receiver), reply));
        }
    }

    private void deliverOrder(CoordinatorProtocol.AddressedOrder addressed) {
        RankState before = rank(addressed.member());
        RankProtocol.Transition after = rankProtocol.handle(before, addressed.order());
        RankState state =
                after.mapToStage() == null ? after.state() : after.state().withStaged(after.mapToStage());
        if (addressed.order() instanceof MapOrder.Decide decide
                && !decide.proposal().opensEpoch()) {
            checkDecision(decide, before, state);
        }
        ranks.put(addressed.member(), state);
        network.add(after.reply());
    }

    private void checkDecision(MapOrder.Decide decide, RankState before, RankState after) {
        RoundNumber number = decide.proposal().number();
        if (decide.decision() == MapOrder.Decision.ABORT) {
            boolean unchanged = java.util.Objects.equals(before.committed(), after.committed())
                    && before.staged().equals(after.staged());
            if (!unchanged) {
                throw new IllegalStateException("aborted proposal changed the committed or staged maps: " + after);
            }
            if (before.hasPending(decide.proposal())) {
                aborted.add(number);
            }
        } else if (!java.util.Objects.equals(before.committed(), after.committed())) {
            committed.add(number);
        }
    }

    private void runStep(String member, boolean waitsForOthers) {
        RankState rank = rank(member);
        Optional<RankState.StepRun> run = rank.nextRunnableStep();
        if (run.isPresent() && (!waitsForOthers || allReached(run.get().step()))) {
            stepMaps.record(run.get());
            ranks.put(member, rank.afterStarting(run.get()));
        }
    }

    private boolean allReached(StepId step) {
        return ranks.values().stream().allMatch(rank -> {
            StepId next = rank.nextStep();
            return next != null && next.epoch().equals(step.epoch()) && next.index() >= step.index();
        });
    }

    private void restart(String member) {
        ranks.put(member, RankState.restarted(member, ++incarnations, fencing));
    }

    private void newCoordinator() {
        fencing++;
        MapId target = new MapId("m" + random.nextInt(4));
        CoordinatorProtocol.Transition first =
                coordinatorStarter.start(fencing, members, target, INITIAL_MAP, random.nextInt(3));
        apply(fencing, first);
    }

    private void timeout(long coordinator) {
        apply(coordinator, coordinatorProtocol.onTimeout(state(coordinator)));
    }

    private void apply(long coordinator, CoordinatorProtocol.Transition after) {
        coordinators.put(coordinator, after.state());
        network.addAll(after.orders());
    }

    private CoordinatorState state(long coordinator) {
        return java.util.Objects.requireNonNull(coordinators.get(coordinator));
    }

    private RankState rank(String member) {
        return java.util.Objects.requireNonNull(ranks.get(member));
    }

    private String anyMember() {
        return members.get(random.nextInt(members.size()));
    }

    /** Returns the fencing number of one of the three latest coordinators. */
    private long anyCoordinator() {
        List<Long> ids = List.copyOf(coordinators.keySet());
        int age = Math.min(ids.size(), 1 + random.nextInt(3));
        return ids.get(ids.size() - age);
    }
}
