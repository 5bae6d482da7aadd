package firwheel.table;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.model.TableSnapshot;
import firwheel.model.TimeSource;
import firwheel.store.Delay;
import firwheel.store.TableService;
import firwheel.table.ActiveTable.OfferResult;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the table of one process up to date from the platform and its peers. Entries poll the platform in turns with the
 * other entries of their zone; agents learn from entries only. All methods run on the control thread.
 */
public final class TableNode {
    private static final Logger LOGGER = LoggerFactory.getLogger(TableNode.class);
    private static final Duration ENTRY_ROUND = Duration.ofMillis(500);
    private static final Duration AGENT_ROUND = Duration.ofMillis(1_500);
    private static final Duration START_WAIT = Duration.ofSeconds(1);
    private static final Duration DAMAGED_RETRY = Duration.ofSeconds(30);
    private static final int MAX_RECORDS = 200;

    private final Peer self;
    private final ActiveTable holder = new ActiveTable();
    private final Membership membership;
    private final TableGossip gossip;
    private final ZonePoller poller;
    private final @Nullable TableReader reader;
    private final Ports ports;
    private final long startedNanos;
    private boolean platformAnswered;
    private boolean platformDown;
    private boolean stopped;
    private boolean peerAnswered;
    private boolean readAll;
    private long damagedRevision = -1;
    private long damagedRetryNanos;
    private boolean announced;

    /**
     * What the process gives to its table node.
     *
     * @param time time of the process
     * @param delay waits between polls and rounds
     * @param control executor of the control thread
     * @param send sends a message over a link; messages to peers without a link are dropped
     * @param inForce told of each table that comes into force
     */
    public record Ports(
            TimeSource time, Delay delay, Executor control, Consumer<Outgoing> send, Consumer<TableSnapshot> inForce) {}

    /**
     * Creates a node.
     *
     * @param service platform's table service; null for processes that do not read the table from it
     */
    public TableNode(Peer self, @Nullable TableService service, Ports ports, Random random) {
        this.self = self;
        this.ports = ports;
        this.membership = new Membership(ports.time());
        this.gossip = new TableGossip(self, holder, ports.time(), random);
        this.poller = new ZonePoller(random);
        this.reader = service == null ? null : new TableReader(service);
        this.startedNanos = ports.time().monotonicNanos();
    }

    /** Starts polls and rounds. */
    public void start() {
        if (reader != null) {
            poll(reader);
        }
        round();
        later(START_WAIT, this::tellInForce);
    }

    /** Ends polls and rounds. */
    public void stop() {
        stopped = true;
    }

    /** Returns the table's holder. */
    public ActiveTable holder() {
        return holder;
    }

    /** Returns who is there. */
    public Membership membership() {
        return membership;
    }

    /**
     * Returns whether the process may serve by its table: the platform and a peer have answered, or time was given for
     * all to answer and one did. A table older than what peers hold is thus not served by right after the start.
     */
    public boolean ready() {
        boolean waited = ports.time().monotonicNanos() - startedNanos >= START_WAIT.toNanos();
        return holder.current().revision() > 0 && (waited || (platformAnswered && peerAnswered));
    }

    /** Returns the announcement of what is in force here; safe to call from any thread. */
    public TableMessage announcement() {
        return gossip.announcement();
    }

    /** Takes a new link. */
    public void onLinkUp(Peer peer) {
        membership.onLinkUp(peer);
        ports.send().accept(new Outgoing(peer, gossip.announcement()));
    }

    /** Takes the end of a link. */
    public void onLinkDown(Peer peer) {
        membership.onLinkDown(peer);
    }

    /** Takes a message of a peer. */
    public void onMessage(Peer from, TableMessage message) {
        if (stopped) {
            return;
        }
        membership.onFrame(from);
        peerAnswered = true;
        long before = holder.current().revision();
        gossip.receive(from, message).forEach(ports.send());
        afterChange(before);
    }

    /** Takes the revision that any other frame of a peer carried. */
    public void onRevision(Peer from, long revision) {
        membership.onFrame(from);
        if (revision > holder.current().revision()) {
            gossip.onHigherRevision(from, revision).forEach(ports.send());
        }
    }

    private void round() {
        if (stopped) {
            return;
        }
        gossip.round(membership.linked()).forEach(ports.send());
        Duration wait = self.role() == Peer.Role.ENTRY ? ENTRY_ROUND : AGENT_ROUND;
        later(wait, this::round);
    }

    private void poll(TableReader source) {
        if (stopped) {
            return;
        }
        var unused = source.readRevision()
                .thenComposeAsync(revision -> read(source, revision), ports.control())
                .whenCompleteAsync(
                        (done, error) -> onPolled(source, error == null ? null : FirwheelException.of(error)),
                        ports.control());
    }

    /** Reads what follows the table in force, or the whole table when there is none or the changes do not fit. */
    private CompletableFuture<Void> read(TableReader source, long revision) {
        long held = holder.current().revision();
        if (revision < held) {
            Events.log(LOGGER, EventCode.TABLE_OLDER, "offered", revision, "inForce", held, "source", "platform");
        }
        if (revision <= held) {
            platformAnswered = true;
            return CompletableFuture.completedFuture(null);
        }
        if (held > 0 && !readAll) {
            return source.readAuditRecords(held, MAX_RECORDS).thenAcceptAsync(this::offerRecords, ports.control());
        }
        if (revision == damagedRevision && ports.time().monotonicNanos() < damagedRetryNanos) {
            return CompletableFuture.completedFuture(null);
        }
        damagedRevision = revision;
        damagedRetryNanos = ports.time().monotonicNanos() + DAMAGED_RETRY.toNanos();
        return source.read().thenAcceptAsync(this::offer, ports.control());
    }

    private void offer(TableSnapshot table) {
        long before = holder.current().revision();
        if (holder.offer(table) != OfferResult.REJECTED) {
            damagedRevision = -1;
            readAll = false;
            platformAnswered = true;
        }
        afterChange(before);
    }

    private void offerRecords(List<AuditRecord> records) {
        long before = holder.current().revision();
        OfferResult adoption = holder.offerAuditRecords(records);
        readAll = adoption == OfferResult.GAP || adoption == OfferResult.REJECTED || records.isEmpty();
        platformAnswered = platformAnswered || !readAll;
        afterChange(before);
    }

    private void onPolled(TableReader source, @Nullable FirwheelException failure) {
        if (stopped) {
            return;
        }
        boolean damaged = failure != null && failure.code() == ResultCode.TABLE_FIELD;
        if (failure != null && damaged) {
            readAll = true;
            Events.log(LOGGER, EventCode.TABLE_REJECTED, "detail", String.valueOf(failure.getMessage()));
        }
        notePlatform(damaged ? null : failure);
        int zoneEntries = 1 + membership.linkedEntries(self.availabilityZone());
        later(poller.nextWait(zoneEntries, failure != null), () -> poll(source));
    }

    private void notePlatform(@Nullable FirwheelException failure) {
        if (failure != null && !platformDown) {
            Events.log(LOGGER, EventCode.PLATFORM_DOWN, "code", failure.code().label());
        } else if (failure == null && platformDown) {
            Events.log(LOGGER, EventCode.PLATFORM_BACK);
        }
        platformDown = failure != null;
    }

    private void later(Duration wait, Runnable work) {
        var unused = ports.delay().after(wait).thenRunAsync(work, ports.control());
    }

    private void afterChange(long previousRevision) {
        if (holder.current().revision() > previousRevision) {
            gossip.push(previousRevision, membership.linked()).forEach(ports.send());
            tellInForce();
        } else if (!announced) {
            tellInForce();
        }
    }

    private void tellInForce() {
        if (!stopped && ready()) {
            announced = true;
            ports.inForce().accept(holder.table());
        }
    }
}
