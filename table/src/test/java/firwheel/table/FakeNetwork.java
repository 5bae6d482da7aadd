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

/** Links between table nodes over virtual time; hosts can be cut, paused and replaced. */
final class FakeNetwork {
    private static final int KEPT_MESSAGES = 100;

    final VirtualTime time = new VirtualTime();
    final InMemoryTableService store = new InMemoryTableService();
    final FaultyTableService platform;
    final Random random;
    final Map<String, Host> hosts = new TreeMap<>();
    /** Pairs of addresses with a link, and the platform as {@code address|platform}, with the time it came up. */
    final Map<String, Long> upSinceNanos = new HashMap<>();

    private final Set<String> cuts = new HashSet<>();
    private final List<Delivery> recent = new ArrayList<>();
    private long nextIncarnation = 1;

    FakeNetwork(long seed) {
        random = new Random(seed);
        platform = new FaultyTableService(store, time, time, seed);
    }

    record Delivery(Peer from, Host to, TableMessage message) {}

    /** One process on one host. */
    final class Host {
        final Peer peer;
        final TableReplica node;
        final TableService service;
        final List<Long> revisions = new ArrayList<>();
        final long startedNanos = time.monotonicNanos();
        long runningSinceNanos = startedNanos;
        TableSnapshot inForce = TableSnapshot.EMPTY;
        boolean dead;
        private boolean paused;
        private final Deque<Runnable> waiting = new ArrayDeque<>();

        Host(String address, String zone, Peer.Role role) {
            peer = new Peer(address, zone, role, nextIncarnation++);
            service = new ResilientTableService(
                    new CuttableService(address), time, time, random::nextDouble, ResilientTableService.Limits.POLLING);
            TableReplica.Dependencies ports =
                    new TableReplica.Dependencies(time, time, this::execute, this::send, this::adopt);
            node = new TableReplica(peer, role == Peer.Role.ENTRY ? service : null, ports, random);
        }

        void execute(Runnable work) {
            if (dead) {
                return;
            }
            if (paused) {
                waiting.add(work);
            } else {
                work.run();
            }
        }

        void pause() {
            paused = true;
            runningSinceNanos = Long.MAX_VALUE;
        }

        void resume() {
            if (dead || !paused) {
                return;
            }
            paused = false;
            runningSinceNanos = time.monotonicNanos();
            while (!waiting.isEmpty()) {
                waiting.poll().run();
            }
        }

        private void adopt(TableSnapshot table) {
            inForce = table;
            revisions.add(table.revision());
        }

        private void send(OutgoingMessage outgoing) {
            Host to = hosts.get(outgoing.to().address());
            if (to == null || !linked(peer.address(), to.peer.address()) || !to.peer.equals(outgoing.to())) {
                return;
            }
            recent.add(new Delivery(peer, to, outgoing.message()));
            if (recent.size() > KEPT_MESSAGES) {
                recent.remove(0);
            }
            time.schedule(Duration.ofMillis(1 + random.nextInt(5)), () -> {
                if (linked(peer.address(), to.peer.address()) && !dead) {
                    to.execute(() -> to.node.onMessage(peer, outgoing.message()));
                }
            });
        }
    }

    /** Starts a host, or replaces the one at the address by a new incarnation. */
    Host start(String address, String zone, Peer.Role role) {
        Host old = hosts.get(address);
        if (old != null) {
            kill(old);
        }
        Host host = new Host(address, zone, role);
        hosts.put(address, host);
        host.node.start();
        refreshLinks();
        return host;
    }

    private void kill(Host host) {
        host.dead = true;
        host.node.stop();
        hosts.remove(host.peer.address());
        for (Host other : hosts.values()) {
            if (upSinceNanos.remove(pair(host.peer.address(), other.peer.address())) != null) {
                other.execute(() -> other.node.onLinkDown(host.peer));
            }
        }
        upSinceNanos.remove(pair(host.peer.address(), "platform"));
    }

    /** Cuts between any two of: addresses, zones, {@code platform}. */
    void cut(String one, String other) {
        cuts.add(pair(one, other));
        refreshLinks();
    }

    void heal() {
        cuts.clear();
        refreshLinks();
    }

    void replayOldMessage() {
        if (!recent.isEmpty()) {
            Delivery delivery = recent.get(random.nextInt(recent.size()));
            delivery.to().execute(() -> delivery.to().node.onMessage(delivery.from(), delivery.message()));
        }
    }

    boolean linked(String one, String other) {
        return upSinceNanos.containsKey(pair(one, other));
    }

    /** Returns the hosts that were connected to the platform, at least over others, without a break since a time. */
    Set<Host> connectedSince(long sinceNanos, long platformUpSinceNanos) {
        Set<Host> reached = new HashSet<>();
        Deque<Host> open = new ArrayDeque<>();
        for (Host host : hosts.values()) {
            boolean direct = host.peer.role() == Peer.Role.ENTRY && stable(host, "platform", sinceNanos);
            if (direct && platformUpSinceNanos <= sinceNanos && host.runningSinceNanos <= sinceNanos) {
                open.add(host);
            }
        }
        while (!open.isEmpty()) {
            Host host = open.poll();
            if (reached.add(host) && host.peer.role() == Peer.Role.ENTRY) {
                hosts.values().stream()
                        .filter(other -> other.runningSinceNanos <= sinceNanos)
                        .filter(other -> stable(host, other.peer.address(), sinceNanos))
                        .forEach(open::add);
            }
        }
        return reached;
    }

    private boolean stable(Host host, String other, long sinceNanos) {
        return upSinceNanos.getOrDefault(pair(host.peer.address(), other), Long.MAX_VALUE) <= sinceNanos;
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
        String key = pair(host.peer.address(), "platform");
        if (isCut(host, "platform", "platform")) {
            upSinceNanos.remove(key);
        } else {
            upSinceNanos.putIfAbsent(key, time.monotonicNanos());
        }
    }

    private void refreshLink(Host one, Host other) {
        boolean wanted = one.peer.role() == Peer.Role.ENTRY || other.peer.role() == Peer.Role.ENTRY;
        String key = pair(one.peer.address(), other.peer.address());
        boolean up = upSinceNanos.containsKey(key);
        boolean cut = isCut(one, other.peer.address(), other.peer.availabilityZone());
        if (up && cut) {
            upSinceNanos.remove(key);
            one.execute(() -> one.node.onLinkDown(other.peer));
            other.execute(() -> other.node.onLinkDown(one.peer));
        } else if (wanted && !up && !cut) {
            upSinceNanos.put(key, time.monotonicNanos());
            one.execute(() -> one.node.onLinkUp(other.peer));
            other.execute(() -> other.node.onLinkUp(one.peer));
        }
    }

    private boolean isCut(Host one, String otherAddress, String otherZone) {
        String address = one.peer.address();
        String zone = one.peer.availabilityZone();
        return cuts.contains(pair(address, otherAddress))
                || cuts.contains(pair(address, "all"))
                || cuts.contains(pair(otherAddress, "all"))
                || (!zone.equals(otherZone) && cuts.contains(pair(zone, otherZone)));
    }

    private static String pair(String one, String other) {
        return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
    }

    private final class CuttableService implements TableService {
        private final String address;

        CuttableService(String address) {
            this.address = address;
        }

        private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> action) {
            return linked(address, "platform")
                    ? action.get()
                    : CompletableFuture.failedFuture(new FirwheelException(ResultCode.PLATFORM_UNREACHABLE, "cut off"));
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
