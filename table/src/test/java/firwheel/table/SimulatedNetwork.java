package firwheel.table;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.model.TableSnapshot;
import firwheel.standin.FaultyTableService;
import firwheel.standin.InMemoryTableService;
import firwheel.standin.VirtualTime;
import firwheel.store.CommitResult;
import firwheel.store.ResilientTableService;
import firwheel.store.StoredRow;
import firwheel.store.TableService;
import firwheel.store.Transaction;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Simulated network of table replicas on virtual time. Hosts can be partitioned, paused and replaced. */
final class SimulatedNetwork {
    private static final int MAX_RECENT_MESSAGES = 100;

    final VirtualTime time = new VirtualTime();
    final InMemoryTableService store = new InMemoryTableService();
    final FaultyTableService platform;
    final Random random;
    final Map<String, Host> hosts = new TreeMap<>();
    /**
     * Time at which each link came up, by pair of addresses; the link to the platform has the key {@code
     * address|platform}.
     */
    final Map<String, Long> upSinceNanos = new HashMap<>();

    private final Set<String> partitions = new HashSet<>();
    private final List<Delivery> recent = new ArrayList<>();
    private long nextIncarnation = 1;

    SimulatedNetwork(long seed) {
        random = new Random(seed);
        platform = new FaultyTableService(store, time, time, seed);
    }

    record Delivery(Peer from, Host to, TableMessage message) {}

    /** Process on a simulated host. */
    final class Host {
        final Peer peer;
        final TableReplica replica;
        final TableService service;
        final List<Long> revisions = new ArrayList<>();
        final long startedNanos = time.monotonicNanos();
        long runningSinceNanos = startedNanos;
        TableSnapshot active = TableSnapshot.EMPTY;
        boolean stopped;
        private boolean paused;
        private final Deque<Runnable> pausedWork = new ArrayDeque<>();

        Host(String address, String zone, Peer.Role role) {
            peer = new Peer(address, zone, role, nextIncarnation++);
            service = new ResilientTableService(
                    new PartitionableService(address),
                    time,
                    time,
                    random::nextDouble,
                    ResilientTableService.Limits.POLLING);
            TableReplica.Dependencies dependencies =
                    new TableReplica.Dependencies(time, time, this::execute, this::send, this::onActivated);
            replica = new TableReplica(peer, role == Peer.Role.ENTRY ? service : null, dependencies, random);
        }

        void execute(Runnable work) {
            if (stopped) {
                return;
            }
            if (paused) {
                pausedWork.add(work);
            } else {
                work.run();
            }
        }

        void pause() {
            paused = true;
            runningSinceNanos = Long.MAX_VALUE;
        }

        void resume() {
            if (stopped || !paused) {
                return;
            }
            paused = false;
            runningSinceNanos = time.monotonicNanos();
            while (!pausedWork.isEmpty()) {
                pausedWork.poll().run();
            }
        }

        private void onActivated(TableSnapshot table) {
            active = table;
            revisions.add(table.revision());
        }

        private void send(OutgoingMessage outgoing) {
            Host to = hosts.get(outgoing.to().address());
            if (to == null || !linked(peer.address(), to.peer.address()) || !to.peer.equals(outgoing.to())) {
                return;
            }
            recent.add(new Delivery(peer, to, outgoing.message()));
            if (recent.size() > MAX_RECENT_MESSAGES) {
                recent.remove(0);
            }
            time.schedule(Duration.ofMillis(1 + random.nextInt(5)), () -> {
                if (linked(peer.address(), to.peer.address()) && !stopped) {
                    to.execute(() -> to.replica.onMessage(peer, outgoing.message()));
                }
            });
        }
    }

    /** Starts a host; an existing host at the address is replaced by a new incarnation. */
    Host start(String address, String zone, Peer.Role role) {
        Host old = hosts.get(address);
        if (old != null) {
            stop(old);
        }
        Host host = new Host(address, zone, role);
        hosts.put(address, host);
        host.replica.start();
        refreshLinks();
        return host;
    }

    private void stop(Host host) {
        host.stopped = true;
        host.replica.stop();
        hosts.remove(host.peer.address());
        for (Host other : hosts.values()) {
            if (upSinceNanos.remove(linkKey(host.peer.address(), other.peer.address())) != null) {
                other.execute(() -> other.replica.onLinkDown(host.peer));
            }
        }
        upSinceNanos.remove(linkKey(host.peer.address(), "platform"));
    }

    /**
     * Cuts the links between {@code one} and {@code other}, each an address or a zone. {@code other} may also be
     * {@code platform} or, when {@code one} is an address, {@code all} for every other address.
     */
    void partition(String one, String other) {
        partitions.add(linkKey(one, other));
        refreshLinks();
    }

    void healPartitions() {
        partitions.clear();
        refreshLinks();
    }

    void replayOldMessage() {
        if (!recent.isEmpty()) {
            Delivery delivery = recent.get(random.nextInt(recent.size()));
            delivery.to().execute(() -> delivery.to().replica.onMessage(delivery.from(), delivery.message()));
        }
    }

    boolean linked(String one, String other) {
        return upSinceNanos.containsKey(linkKey(one, other));
    }

    /**
     * Returns the hosts that were connected to the platform, directly or through other hosts, without interruption
     * since a time.
     */
    Set<Host> connectedSince(long sinceNanos, long platformUpSinceNanos) {
        Set<Host> reached = new HashSet<>();
        Deque<Host> open = new ArrayDeque<>();
        for (Host host : hosts.values()) {
            boolean direct = host.peer.role() == Peer.Role.ENTRY && isUpSince(host, "platform", sinceNanos);
            if (direct && platformUpSinceNanos <= sinceNanos && host.runningSinceNanos <= sinceNanos) {
                open.add(host);
            }
        }
        while (!open.isEmpty()) {
            Host host = open.poll();
            if (reached.add(host) && host.peer.role() == Peer.Role.ENTRY) {
                hosts.values().stream()
                        .filter(other -> other.runningSinceNanos <= sinceNanos)
                        .filter(other -> isUpSince(host, other.peer.address(), sinceNanos))
                        .forEach(open::add);
            }
        }
        return reached;
    }

    private boolean isUpSince(Host host, String other, long sinceNanos) {
        return upSinceNanos.getOrDefault(linkKey(host.peer.address(), other), Long.MAX_VALUE) <= sinceNanos;
    }

    private void refreshLinks() {
        List<Host> all = new ArrayList<>(hosts.values());
        for (int i = 0; i < all.size(); i++) {
            refreshPlatform(all.get(i));
            for (int j = i + 1; j < all.size(); j++) {
                refreshLink(all.get(i), all.get(j));
            }
        }
    }

    private void refreshPlatform(Host host) {
        String key = linkKey(host.peer.address(), "platform");
        if (isPartitioned(host, "platform", "platform")) {
            upSinceNanos.remove(key);
        } else {
            upSinceNanos.putIfAbsent(key, time.monotonicNanos());
        }
    }

    private void refreshLink(Host one, Host other) {
        boolean linkAllowed = one.peer.role() == Peer.Role.ENTRY || other.peer.role() == Peer.Role.ENTRY;
        String key = linkKey(one.peer.address(), other.peer.address());
        boolean up = upSinceNanos.containsKey(key);
        boolean partitioned = isPartitioned(one, other.peer.address(), other.peer.availabilityZone());
        if (up && partitioned) {
            upSinceNanos.remove(key);
            one.execute(() -> one.replica.onLinkDown(other.peer));
            other.execute(() -> other.replica.onLinkDown(one.peer));
        } else if (linkAllowed && !up && !partitioned) {
            upSinceNanos.put(key, time.monotonicNanos());
            one.execute(() -> one.replica.onLinkUp(other.peer));
            other.execute(() -> other.replica.onLinkUp(one.peer));
        }
    }

    private boolean isPartitioned(Host one, String otherAddress, String otherZone) {
        String address = one.peer.address();
        String zone = one.peer.availabilityZone();
        return partitions.contains(linkKey(address, otherAddress))
                || partitions.contains(linkKey(address, "all"))
                || partitions.contains(linkKey(otherAddress, "all"))
                || (!zone.equals(otherZone) && partitions.contains(linkKey(zone, otherZone)));
    }

    private static String linkKey(String one, String other) {
        return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
    }

    private final class PartitionableService implements TableService {
        private final String address;

        PartitionableService(String address) {
            this.address = address;
        }

        private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> action) {
            return linked(address, "platform")
                    ? action.get()
                    : CompletableFuture.failedFuture(
                            new FirwheelException(ResultCode.PLATFORM_UNREACHABLE, "partitioned from the platform"));
        }

        @Override
        public CompletableFuture<List<StoredRow>> read(List<String> keys) {
            return call(() -> platform.read(keys));
        }

        @Override
        public CompletableFuture<List<StoredRow>> scan(String prefix, String afterKey, int limit) {
            return call(() -> platform.scan(prefix, afterKey, limit));
        }

        @Override
        public CompletableFuture<CommitResult> commit(Transaction transaction) {
            return call(() -> platform.commit(transaction));
        }
    }
}
