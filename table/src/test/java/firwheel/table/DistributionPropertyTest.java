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
 * Property test of table distribution, leases and fencing under random schedules of faults. To run more seeds, set
 * {@code -Dfirwheel.seeds=20000}; to run a single seed, set {@code -Dfirwheel.seed=N}.
 */
final class DistributionPropertyTest {
    private static final int SEEDS = Integer.getInteger("firwheel.seeds", 2_000);
    private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(4);
    private static final List<String> ZONES = List.of("a", "b", "c");

    @Test
    void invariantsHoldUnderRandomSchedules() {
        Integer single = Integer.getInteger("firwheel.seed");
        int first = single == null ? 0 : single;
        int last = single == null ? SEEDS - 1 : single;
        long checkedChanges = 0;
        long admittedOrders = 0;
        for (int seed = first; seed <= last; seed++) {
            Schedule schedule = new Schedule(seed);
            schedule.run();
            checkedChanges += schedule.checkedActivations;
            admittedOrders += schedule.admittedOrders;
        }
        assertThat(checkedChanges)
                .as("number of checks that a change became active in time")
                .isPositive();
        assertThat(admittedOrders).isPositive();
        System.out.printf(
                "%d seeds: %d activations within 4 s checked, %d orders admitted%n",
                last - first + 1, checkedChanges, admittedOrders);
    }

    /** One random schedule and the invariants that are checked during it. */
    private static final class Schedule {
        private final int seed;
        private final SimulatedNetwork network;
        private final TableCommitter committer;
        private final Map<String, Agent> agents = new HashMap<>();
        private final Map<String, LeaseHolder> leaseHolders = new HashMap<>();
        private final Map<String, Long> highestAdmitted = new HashMap<>();
        private final Map<String, String> holderByNumber = new HashMap<>();
        private final Map<String, LastEdit> lastEdits = new HashMap<>();
        private long platformUpSinceNanos;
        private int changes;
        private int writes;
        private long checkedActivations;
        private long admittedOrders;

        /** Agent that receives orders and request attempts. */
        private record Agent(SimulatedNetwork.Host host, FencingGuard guard) {}

        private record LastEdit(long revision, RowState state, long acceptedNanos) {}

        Schedule(int seed) {
            this.seed = seed;
            this.network = new SimulatedNetwork(seed);
            this.committer = new TableCommitter(network.platform, network.time, network.time);
        }

        void run() {
            List<TargetRow> rows = new ArrayList<>();
            for (int i = 0; i < ZONES.size(); i++) {
                rows.add(TestRows.row("row-" + ZONES.get(i), i + 1));
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
                performRandomAction();
                network.time.runFor(Duration.ofMillis(100 + network.random.nextInt(1_500)));
            }
            clearAllFaults();
            editRandomRow();
            network.time.runFor(Duration.ofSeconds(8));
            long latest = new TableReader(network.store).readRevision().join();
            network.hosts.values().forEach(host -> assertThat(host.active.revision())
                    .as("active revision after all faults cleared, seed %d, host %s", seed, host.peer.address())
                    .isEqualTo(latest));
            network.hosts.values().forEach(this::assertRevisionsNeverDecrease);
        }

        private void performRandomAction() {
            switch (network.random.nextInt(14)) {
                case 0, 1, 2, 3 -> editRandomRow();
                case 4 -> network.partition(randomZone(), "platform");
                case 5 -> network.partition(randomZone(), randomZone());
                case 6 -> network.partition(randomHost().peer.address(), "all");
                case 7 -> network.healPartitions();
                case 8 -> restart(randomHost());
                case 9 -> {
                    SimulatedNetwork.Host host = randomHost();
                    host.pause();
                    network.time.schedule(Duration.ofMillis(500 + network.random.nextInt(14_000)), host::resume);
                }
                case 10 -> setFaults(Faults.unavailable());
                case 11 ->
                    setFaults(
                            new Faults(false, Duration.ofMillis(5), 0.3, Duration.ofMillis(1_500), 0.4, 0.1, 200, 30));
                case 12 -> clearAllFaults();
                default -> {
                    for (int i = 0; i < 20; i++) {
                        network.replayOldMessage();
                    }
                }
            }
        }

        private void clearAllFaults() {
            network.healPartitions();
            network.hosts.values().forEach(SimulatedNetwork.Host::resume);
            setFaults(Faults.NONE);
        }

        private void setFaults(Faults faults) {
            platformUpSinceNanos = faults.equals(Faults.NONE) ? network.time.monotonicNanos() : Long.MAX_VALUE;
            network.platform.setFaults(faults);
        }

        private void editRandomRow() {
            TableSnapshot base = new TableReader(network.store).read().join();
            int index = network.random.nextInt(base.rows().size());
            TargetRow row = base.rows().get(index);
            TargetRow edited = network.random.nextBoolean()
                    ? row.withState(row.state() == RowState.SERVING ? RowState.LEAVING : RowState.SERVING)
                    : TestRows.withWeight(row, 1 + network.random.nextInt(1_000));
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

        /** Invariant: an accepted change is active on all connected hosts within the limit. */
        private void onAccepted(long revision, TargetRow edited) {
            long acceptedNanos = network.time.monotonicNanos();
            lastEdits.merge(
                    edited.name(),
                    new LastEdit(revision, edited.state(), acceptedNanos),
                    (old, edit) -> old.revision() > edit.revision() ? old : edit);
            network.time.schedule(PROPAGATION_LIMIT, () -> {
                for (SimulatedNetwork.Host host : network.connectedSince(acceptedNanos, platformUpSinceNanos)) {
                    checkedActivations++;
                    assertThat(host.active.revision())
                            .as("active revision 4 s after the change, seed %d, host %s", seed, host.peer.address())
                            .isGreaterThanOrEqualTo(revision);
                }
            });
        }

        /** Invariant: the active revision of a running host never decreases. */
        private void assertRevisionsNeverDecrease(SimulatedNetwork.Host host) {
            assertThat(host.revisions)
                    .as("active revisions in order, seed %d, host %s", seed, host.peer.address())
                    .isSorted();
        }

        private void restart(SimulatedNetwork.Host host) {
            assertRevisionsNeverDecrease(host);
            String zone = host.peer.availabilityZone();
            if (host.peer.role() == Peer.Role.AGENT) {
                startAgent(zone);
            } else {
                startEntry(zone, host.peer.address().endsWith("0") ? 0 : 1);
            }
        }

        private void startAgent(String zone) {
            SimulatedNetwork.Host host = network.start("agent-" + zone, zone, Peer.Role.AGENT);
            Agent agent = new Agent(host, new FencingGuard());
            agents.put(zone, agent);
            loadFencingNumber(agent);
        }

        private void loadFencingNumber(Agent agent) {
            if (agent.host().stopped || agent.guard().ready()) {
                return;
            }
            SimulatedNetwork.Host host = agent.host();
            var unused = agent.guard().loadStoredNumber(host.service, host.peer.availabilityZone(), host::execute);
            network.time.schedule(Duration.ofSeconds(1), () -> loadFencingNumber(agent));
        }

        private void startEntry(String zone, int number) {
            SimulatedNetwork.Host host = network.start("entry-" + zone + number, zone, Peer.Role.ENTRY);
            String holderId = host.peer.address() + "#" + host.peer.incarnation();
            LeaseHolder lease = new LeaseHolder(
                    zone,
                    holderId,
                    new LeaseHolder.Timing(Duration.ofSeconds(5), Duration.ofSeconds(1)),
                    host.service,
                    network.time,
                    host::execute,
                    () -> "w" + writes++);
            leaseHolders.put(host.peer.address(), lease);
            leaseLoop(host, lease);
            sendLoop(host, lease, holderId);
        }

        private void leaseLoop(SimulatedNetwork.Host host, LeaseHolder lease) {
            if (!host.stopped) {
                host.execute(() -> {
                    var unused = lease.acquireOrRenew();
                });
                network.time.schedule(Duration.ofMillis(1_500), () -> leaseLoop(host, lease));
            }
        }

        /**
         * Sends an order and an attempt to the agent of the zone at regular intervals; an order may be delivered much
         * later.
         */
        private void sendLoop(SimulatedNetwork.Host host, LeaseHolder lease, String holderId) {
            if (host.stopped) {
                return;
            }
            Agent agent = agents.get(host.peer.availabilityZone());
            if (agent != null) {
                host.execute(() -> lease.fencingNumber().ifPresent(number -> {
                    Duration latency = Duration.ofMillis(1 + network.random.nextInt(4) * 2_000L);
                    network.time.schedule(latency, () -> deliverOrder(agent, number, holderId));
                }));
                checkAttempt(host, agent);
            }
            network.time.schedule(Duration.ofMillis(700), () -> sendLoop(host, lease, holderId));
        }

        /**
         * Invariant: the fencing numbers that an agent admits never decrease, even across restarts, and each number has
         * one holder.
         */
        private void deliverOrder(Agent agent, long number, String holderId) {
            agent.host().execute(() -> {
                try {
                    agent.guard().admit(number);
                } catch (FirwheelException refused) {
                    return;
                }
                admittedOrders++;
                String zone = agent.host().peer.availabilityZone();
                long highest = highestAdmitted.merge(zone, number, Math::max);
                assertThat(number)
                        .as("fencing number not lower than an earlier one, seed %d", seed)
                        .isEqualTo(highest);
                String holder = holderByNumber.putIfAbsent(zone + number, holderId);
                assertThat(holder == null || holder.equals(holderId))
                        .as("single holder of fencing number %d, seed %d", number, seed)
                        .isTrue();
            });
        }

        /** Invariant: a leaving target admits nothing once its agent has been connected for the propagation limit. */
        private void checkAttempt(SimulatedNetwork.Host entry, Agent agent) {
            SimulatedNetwork.Host host = agent.host();
            if (!network.linked(entry.peer.address(), host.peer.address())) {
                return;
            }
            String name = "row-" + host.peer.availabilityZone();
            boolean entryServesRow = entry.active.row(name).stream().anyMatch(row -> row.state() == RowState.SERVING);
            boolean agentServesRow = host.active.row(name).stream().anyMatch(row -> row.state() == RowState.SERVING);
            long sinceNanos = network.time.monotonicNanos() - PROPAGATION_LIMIT.toNanos();
            LastEdit edit = lastEdits.get(name);
            boolean leftBeforeLimit =
                    edit != null && edit.state() == RowState.LEAVING && edit.acceptedNanos() <= sinceNanos;
            if (entryServesRow && agentServesRow && leftBeforeLimit) {
                Set<SimulatedNetwork.Host> connected = network.connectedSince(sinceNanos, platformUpSinceNanos);
                assertThat(connected)
                        .as("connected hosts, without the agent that admitted for a leaving row, seed %d", seed)
                        .doesNotContain(host);
            }
        }

        private SimulatedNetwork.Host randomHost() {
            List<SimulatedNetwork.Host> all = new ArrayList<>(network.hosts.values());
            return all.get(network.random.nextInt(all.size()));
        }

        private String randomZone() {
            return ZONES.get(network.random.nextInt(ZONES.size()));
        }
    }
}
