package firwheel.table;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.FirwheelException;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetRow;
import firwheel.standin.FaultyTableService.Faults;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Random schedules of faults over the whole control state: distribution, leases and fencing. More seeds with
 * {@code -Dfirwheel.seeds=20000}, one seed with {@code -Dfirwheel.seed=N}.
 */
final class DistributionPropertyTest {
    private static final int SEEDS = Integer.getInteger("firwheel.seeds", 2_000);
    private static final Duration BOUND = Duration.ofSeconds(4);
    private static final List<String> ZONES = List.of("a", "b", "c");

    @Test
    void holdsUnderRandomSchedules() {
        Integer single = Integer.getInteger("firwheel.seed");
        int first = single == null ? 0 : single;
        int last = single == null ? SEEDS - 1 : single;
        long checkedChanges = 0;
        long admittedOrders = 0;
        for (int seed = first; seed <= last; seed++) {
            Schedule schedule = new Schedule(seed);
            schedule.run();
            checkedChanges += schedule.checkedAdoptions;
            admittedOrders += schedule.admittedOrders;
        }
        assertThat(checkedChanges).as("hosts checked for a change in time").isPositive();
        assertThat(admittedOrders).isPositive();
        System.out.printf(
                "%d seeds: %d adoptions checked within 4 s, %d orders admitted%n",
                last - first + 1, checkedChanges, admittedOrders);
    }

    /** One random schedule with its oracles. */
    private static final class Schedule {
        private final int seed;
        private final FakeNetwork network;
        private final TableCommitter committer;
        private final Map<String, Agent> agents = new HashMap<>();
        private final Map<String, LeaseManager> contenders = new HashMap<>();
        private final Map<String, Long> highestAdmitted = new HashMap<>();
        private final Map<String, String> holderOfNumber = new HashMap<>();
        private final Map<String, LastEdit> lastEdits = new HashMap<>();
        private long platformUpSinceNanos;
        private int changes;
        private int writes;
        private long checkedAdoptions;
        private long admittedOrders;

        /** Agent's part of orders and attempts. */
        private record Agent(FakeNetwork.Host host, FencingGuard guard) {}

        private record LastEdit(long revision, RowState state, long acceptedNanos) {}

        Schedule(int seed) {
            this.seed = seed;
            this.network = new FakeNetwork(seed);
            this.committer = new TableCommitter(network.platform, network.time, network.time);
        }

        void run() {
            List<TargetRow> rows = new ArrayList<>();
            for (int i = 0; i < ZONES.size(); i++) {
                rows.add(Rows.row("row-" + ZONES.get(i), i + 1));
            }
            var unused =
                    committer.apply(TableSnapshot.EMPTY, new TableSnapshot(0, rows), "op", "first", "first-" + seed);
            network.time.runFor(Duration.ofMillis(100));
            ZONES.forEach(zone -> {
                startEntry(zone, 0);
                startEntry(zone, 1);
                startAgent(zone);
            });
            for (int step = 0; step < 22; step++) {
                act();
                network.time.runFor(Duration.ofMillis(100 + network.random.nextInt(1_500)));
            }
            recover();
            edit();
            network.time.runFor(Duration.ofSeconds(8));
            long latest = new TableReader(network.store).readRevision().join();
            network.hosts.values().forEach(host -> assertThat(host.inForce.revision())
                    .as("after all healed, seed %d, host %s", seed, host.peer.address())
                    .isEqualTo(latest));
            network.hosts.values().forEach(this::checkMonotone);
        }

        private void act() {
            switch (network.random.nextInt(14)) {
                case 0, 1, 2, 3 -> edit();
                case 4 -> network.cut(zone(), "platform");
                case 5 -> network.cut(zone(), zone());
                case 6 -> network.cut(anyHost().peer.address(), "all");
                case 7 -> network.heal();
                case 8 -> restart(anyHost());
                case 9 -> {
                    FakeNetwork.Host host = anyHost();
                    host.pause();
                    network.time.schedule(Duration.ofMillis(500 + network.random.nextInt(14_000)), host::resume);
                }
                case 10 -> setFaults(Faults.down());
                case 11 ->
                    setFaults(
                            new Faults(false, Duration.ofMillis(5), 0.3, Duration.ofMillis(1_500), 0.4, 0.1, 200, 30));
                case 12 -> recover();
                default -> {
                    for (int i = 0; i < 20; i++) {
                        network.replayOldMessage();
                    }
                }
            }
        }

        private void recover() {
            network.heal();
            network.hosts.values().forEach(FakeNetwork.Host::resume);
            setFaults(Faults.NONE);
        }

        private void setFaults(Faults faults) {
            platformUpSinceNanos = faults.equals(Faults.NONE) ? network.time.monotonicNanos() : Long.MAX_VALUE;
            network.platform.setFaults(faults);
        }

        private void edit() {
            TableSnapshot base = new TableReader(network.store).read().join();
            int index = network.random.nextInt(base.rows().size());
            TargetRow row = base.rows().get(index);
            TargetRow edited = network.random.nextBoolean()
                    ? row.withState(row.state() == RowState.SERVING ? RowState.LEAVING : RowState.SERVING)
                    : Rows.withWeight(row, 1 + network.random.nextInt(1_000));
            List<TargetRow> rows = new ArrayList<>(base.rows());
            rows.set(index, edited);
            var unused = committer
                    .apply(
                            base,
                            new TableSnapshot(base.revision(), rows),
                            "op",
                            "x",
                            "c" + changes++,
                            new TableValidator.Options(true))
                    .whenComplete((result, error) -> {
                        if (error == null && result.conflicts().isEmpty()) {
                            onAccepted(result.revision(), edited);
                        }
                    });
        }

        /** Oracle: an accepted change is in force on all connected hosts within the bound. */
        private void onAccepted(long revision, TargetRow edited) {
            long acceptedNanos = network.time.monotonicNanos();
            lastEdits.merge(
                    edited.name(),
                    new LastEdit(revision, edited.state(), acceptedNanos),
                    (old, edit) -> old.revision() > edit.revision() ? old : edit);
            network.time.schedule(BOUND, () -> {
                for (FakeNetwork.Host host : network.connectedSince(acceptedNanos, platformUpSinceNanos)) {
                    checkedAdoptions++;
                    assertThat(host.inForce.revision())
                            .as("in force within 4 s, seed %d, host %s", seed, host.peer.address())
                            .isGreaterThanOrEqualTo(revision);
                }
            });
        }

        /** Oracle: revisions in force never go down on a host that stays up. */
        private void checkMonotone(FakeNetwork.Host host) {
            assertThat(host.revisions)
                    .as("revisions in force, seed %d, host %s", seed, host.peer.address())
                    .isSorted();
        }

        private void restart(FakeNetwork.Host host) {
            checkMonotone(host);
            String zone = host.peer.availabilityZone();
            if (host.peer.role() == Peer.Role.AGENT) {
                startAgent(zone);
            } else {
                startEntry(zone, host.peer.address().endsWith("0") ? 0 : 1);
            }
        }

        private void startAgent(String zone) {
            FakeNetwork.Host host = network.start("agent-" + zone, zone, Peer.Role.AGENT);
            Agent agent = new Agent(host, new FencingGuard());
            agents.put(zone, agent);
            readNumber(agent);
        }

        private void readNumber(Agent agent) {
            if (agent.host().dead || agent.guard().ready()) {
                return;
            }
            FakeNetwork.Host host = agent.host();
            var unused = agent.guard().loadStoredNumber(host.service, host.peer.availabilityZone(), host::execute);
            network.time.schedule(Duration.ofSeconds(1), () -> readNumber(agent));
        }

        private void startEntry(String zone, int number) {
            FakeNetwork.Host host = network.start("entry-" + zone + number, zone, Peer.Role.ENTRY);
            String holderId = host.peer.address() + "#" + host.peer.incarnation();
            LeaseManager lease = new LeaseManager(
                    zone,
                    holderId,
                    new LeaseManager.Timing(Duration.ofSeconds(5), Duration.ofSeconds(1)),
                    host.service,
                    network.time,
                    host::execute,
                    () -> "w" + writes++);
            contenders.put(host.peer.address(), lease);
            leaseLoop(host, lease);
            workLoop(host, lease, holderId);
        }

        private void leaseLoop(FakeNetwork.Host host, LeaseManager lease) {
            if (!host.dead) {
                host.execute(() -> {
                    var unused = lease.acquireOrRenew();
                });
                network.time.schedule(Duration.ofMillis(1_500), () -> leaseLoop(host, lease));
            }
        }

        /** Gives an order and sends an attempt; both may arrive much later. */
        private void workLoop(FakeNetwork.Host host, LeaseManager lease, String holderId) {
            if (host.dead) {
                return;
            }
            Agent agent = agents.get(host.peer.availabilityZone());
            if (agent != null) {
                host.execute(() -> lease.fencingNumber().ifPresent(number -> {
                    Duration flight = Duration.ofMillis(1 + network.random.nextInt(4) * 2_000L);
                    network.time.schedule(flight, () -> order(agent, number, holderId));
                }));
                attempt(host, agent);
            }
            network.time.schedule(Duration.ofMillis(700), () -> workLoop(host, lease, holderId));
        }

        /** Oracle: at an agent, numbers never go down, over restarts too, and each has one holder. */
        private void order(Agent agent, long number, String holderId) {
            agent.host().execute(() -> {
                try {
                    agent.guard().admit(number);
                } catch (FirwheelException refused) {
                    return;
                }
                admittedOrders++;
                String zone = agent.host().peer.availabilityZone();
                long highest = highestAdmitted.merge(zone, number, Math::max);
                assertThat(number).as("order after a higher one, seed %d", seed).isEqualTo(highest);
                String holder = holderOfNumber.putIfAbsent(zone + number, holderId);
                assertThat(holder == null || holder.equals(holderId))
                        .as("one holder for number %d, seed %d", number, seed)
                        .isTrue();
            });
        }

        /** Oracle: a leaving target admits nothing once its agent was connected for the bound. */
        private void attempt(FakeNetwork.Host entry, Agent agent) {
            FakeNetwork.Host host = agent.host();
            if (!network.linked(entry.peer.address(), host.peer.address())) {
                return;
            }
            String name = "row-" + host.peer.availabilityZone();
            boolean wanted = entry.inForce.row(name).stream().anyMatch(row -> row.state() == RowState.SERVING);
            boolean admitted = host.inForce.row(name).stream().anyMatch(row -> row.state() == RowState.SERVING);
            long sinceNanos = network.time.monotonicNanos() - BOUND.toNanos();
            LastEdit edit = lastEdits.get(name);
            boolean left = edit != null && edit.state() == RowState.LEAVING && edit.acceptedNanos() <= sinceNanos;
            if (wanted && admitted && left) {
                Set<FakeNetwork.Host> connected = network.connectedSince(sinceNanos, platformUpSinceNanos);
                assertThat(connected)
                        .as("agent of a leaving row that admits, seed %d", seed)
                        .doesNotContain(host);
            }
        }

        private FakeNetwork.Host anyHost() {
            List<FakeNetwork.Host> all = new ArrayList<>(network.hosts.values());
            return all.get(network.random.nextInt(all.size()));
        }

        private String zone() {
            return ZONES.get(network.random.nextInt(ZONES.size()));
        }
    }
}
