package firwheel.peers;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.FirwheelException;
import firwheel.model.TableSnapshot;
import firwheel.model.TimeSource;
import firwheel.store.Delay;
import firwheel.store.HostList;
import firwheel.store.ResilientTableService;
import firwheel.store.TableService;
import firwheel.table.OutgoingMessage;
import firwheel.table.Peer;
import firwheel.table.TableMessage;
import firwheel.table.TableReplica;
import firwheel.wire.Link;
import firwheel.wire.LinkEndpoint;
import firwheel.wire.LinkIdentity;
import firwheel.wire.Message;
import firwheel.wire.TableFrame;
import io.vertx.core.Context;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Synchronizes the table of a process with its peers and the platform. The links and their state belong to the event
 * loop, the table replica to the control thread.
 */
public final class TableSynchronizer implements Supplier<TableSnapshot> {
    private static final Logger LOGGER = LoggerFactory.getLogger(TableSynchronizer.class);
    private static final Duration DIAL_INTERVAL = Duration.ofMillis(500);
    private static final Duration HOST_LIST_INTERVAL = Duration.ofSeconds(15);
    private static final Duration ISOLATED_HOST_LIST_INTERVAL = Duration.ofSeconds(3);

    private final Context context;
    private final LinkEndpoint endpoint;
    private final Executor controlExecutor;
    private final Delay delay = Delay.system();
    private final Random random;
    private final @Nullable HostList hostList;
    private final Dialer agentDialer;
    private final TableMessageCodec codec = new TableMessageCodec();
    private final Peer self;
    private final TableReplica replica;
    private final DialPolicy dialPolicy;
    private final AtomicLong sentBytes = new AtomicLong();
    private volatile TableSnapshot active = TableSnapshot.EMPTY;
    private volatile boolean closed;

    /** Open links by peer. Event loop only. */
    private final Map<Peer, List<Link>> links = new HashMap<>();

    /** Revision last announced over each link. Event loop only. */
    private final Map<Link, Long> announcedRevisions = new HashMap<>();

    /** Addresses that are being dialled. Control thread only. */
    private final Set<String> pendingDials = new HashSet<>();

    /** Opens a link whose owner passes its messages to {@link #handle}. */
    @FunctionalInterface
    public interface Dialer {
        /** Opens a link. Called on the event loop. */
        CompletableFuture<?> dial(String ip, int port);
    }

    /**
     * Sources of the table.
     *
     * @param service platform's table service; null for agents
     * @param hostList platform's host list; null for agents
     * @param linkPort link port of listed hosts whose address has no port
     * @param seeds link addresses of entries to connect to, whether or not they are listed
     */
    public record Sources(
            @Nullable TableService service, @Nullable HostList hostList, int linkPort, List<String> seeds) {
        public Sources {
            seeds = List.copyOf(seeds);
        }

        /** Returns the sources of an agent, which receives the table from entries only. */
        public static Sources forAgent(List<String> seeds) {
            return new Sources(null, null, 0, seeds);
        }
    }

    /** Creates the synchronizer of a process. Entries open their links to agents with {@code agentDialer}. */
    public TableSynchronizer(
            Context context,
            LinkEndpoint endpoint,
            Executor controlExecutor,
            Sources sources,
            Dialer agentDialer,
            Random random) {
        this.context = context;
        this.endpoint = endpoint;
        this.controlExecutor = controlExecutor;
        this.random = random;
        this.hostList = sources.hostList();
        this.agentDialer = agentDialer;
        this.self = peer(endpoint.identity());
        this.dialPolicy = new DialPolicy(self, sources.linkPort(), sources.seeds());
        TimeSource time = TimeSource.system();
        TableService service = sources.service();
        TableService resilient = service == null
                ? null
                : new ResilientTableService(
                        service, time, delay, random::nextDouble, ResilientTableService.Limits.POLLING);
        TableReplica.Dependencies dependencies =
                new TableReplica.Dependencies(time, delay, controlExecutor, this::send, this::onTableActivated);
        this.replica = new TableReplica(self, resilient, dependencies, random);
    }

    /** Starts polling, gossip rounds and dialling. */
    public void start() {
        controlExecutor.execute(() -> {
            replica.start();
            if (hostList != null) {
                refreshHostList(hostList);
            }
            dialDueHosts();
        });
    }

    /** Stops all activity; the links stay open. */
    public void close() {
        closed = true;
        controlExecutor.execute(replica::stop);
    }

    /** Returns the active table; the empty table until the process may serve with one. */
    @Override
    public TableSnapshot get() {
        return active;
    }

    /** Returns the number of bytes of table messages sent. */
    public long sentBytes() {
        return sentBytes.get();
    }

    /** Adds a link that is used for table messages only and handles its messages. Event loop only. */
    public void addTableLink(Link link) {
        link.onMessage(message -> handle(link, message));
        addLink(link);
        link.onClose(() -> removeLink(link));
    }

    /**
     * Adds a link that is also used for other messages; its owner passes messages to {@link #handle}. Event loop only.
     */
    public void addLink(Link link) {
        Peer peer = peer(link);
        boolean first = links.computeIfAbsent(peer, key -> new ArrayList<>()).isEmpty();
        links.getOrDefault(peer, List.of()).add(link);
        if (first) {
            Events.log(LOGGER, EventCode.LINK_UP, "peer", peer.address());
            controlExecutor.execute(() -> replica.onLinkUp(peer));
        }
    }

    /** Removes a closed link. Event loop only. */
    public void removeLink(Link link) {
        announcedRevisions.remove(link);
        Peer peer = peer(link);
        List<Link> open = links.getOrDefault(peer, new ArrayList<>());
        if (open.remove(link) && open.isEmpty()) {
            links.remove(peer);
            Events.log(LOGGER, EventCode.LINK_DOWN, "peer", peer.address());
            controlExecutor.execute(() -> replica.onLinkDown(peer));
        }
    }

    /** Handles a message if it is a table message; returns whether it was. Event loop only. */
    public boolean handle(Link link, Message message) {
        if (!(message instanceof TableFrame frame)) {
            return false;
        }
        try {
            TableMessage content = codec.decode(frame);
            Peer peer = peer(link);
            controlExecutor.execute(() -> replica.onMessage(peer, content));
        } catch (FirwheelException e) {
            Events.log(LOGGER, EventCode.LINK_REFUSED, "peer", link.peer().address(), "reason", e.getMessage());
            link.close();
        }
        return true;
    }

    /**
     * Announces the active revision to the peer of a link, once for each revision. Called before each request, so that
     * the peer learns the revision by which the request was routed before it receives the request. Event loop only.
     */
    public void announceRevision(Link link) {
        long revision = replica.activeTable().current().revision();
        Long previous = announcedRevisions.put(link, revision);
        if (previous == null || previous != revision) {
            TableFrame frame = codec.encode(replica.announcement());
            sentBytes.addAndGet(frame.content().length);
            link.send(frame);
        }
    }

    private void onTableActivated(TableSnapshot table) {
        active = table;
        dialPolicy.onTable(table);
    }

    private void send(OutgoingMessage outgoing) {
        TableFrame frame = codec.encode(outgoing.message());
        context.runOnContext(ignored -> {
            List<Link> open = links.getOrDefault(outgoing.to(), List.of());
            if (!open.isEmpty()) {
                sentBytes.addAndGet(frame.content().length);
                open.get(0).send(frame);
            }
        });
    }

    private void refreshHostList(HostList list) {
        if (closed) {
            return;
        }
        var unused = list.hosts()
                .whenCompleteAsync(
                        (hosts, error) -> {
                            if (error == null) {
                                dialPolicy.onHostList(hosts);
                            }
                            boolean isolated =
                                    replica.membership().linkedPeers().isEmpty();
                            Duration wait = isolated ? ISOLATED_HOST_LIST_INTERVAL : HOST_LIST_INTERVAL;
                            schedule(jittered(wait), () -> refreshHostList(list));
                        },
                        controlExecutor);
    }

    private void dialDueHosts() {
        if (closed) {
            return;
        }
        replica.membership().onHostList(dialPolicy.knownHosts());
        replica.membership().addressesToDial().stream()
                .filter(dialPolicy::shouldDial)
                .filter(pendingDials::add)
                .forEach(this::dial);
        schedule(jittered(DIAL_INTERVAL), this::dialDueHosts);
    }

    private void dial(String address) {
        int colon = address.lastIndexOf(':');
        String ip = address.substring(0, colon);
        int port = Integer.parseInt(address.substring(colon + 1));
        boolean agent = dialPolicy.knownHosts().stream()
                .anyMatch(host -> host.ip().equals(address) && host.role().equals("agent"));
        context.runOnContext(ignored -> {
            CompletableFuture<?> opened = agent
                    ? agentDialer.dial(ip, port)
                    : endpoint.connect(ip, port).thenAccept(this::addTableLink);
            var unused = opened.whenCompleteAsync((link, error) -> onDialCompleted(address, error), controlExecutor);
        });
    }

    private void onDialCompleted(String address, @Nullable Throwable error) {
        pendingDials.remove(address);
        if (error != null) {
            replica.membership().onDialFailed(address);
        }
    }

    private Duration jittered(Duration mean) {
        return Duration.ofNanos((long) (mean.toNanos() * (0.8 + 0.4 * random.nextDouble())));
    }

    private void schedule(Duration wait, Runnable work) {
        var unused = delay.after(wait).thenRunAsync(work, controlExecutor);
    }

    private static Peer peer(Link link) {
        return new Peer(
                link.peer().address(),
                link.peer().availabilityZone(),
                role(link.peer().role()),
                link.peer().incarnation());
    }

    private static Peer peer(LinkIdentity identity) {
        return new Peer(identity.address(), identity.availabilityZone(), role(identity.role()), identity.incarnation());
    }

    private static Peer.Role role(String name) {
        return name.toUpperCase(Locale.ROOT).equals("ENTRY") ? Peer.Role.ENTRY : Peer.Role.AGENT;
    }
}
