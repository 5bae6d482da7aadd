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
public final class TableReplica {
    private static final Logger LOGGER = LoggerFactory.getLogger(TableReplica.class);
    private static final Duration ENTRY_GOSSIP_INTERVAL = Duration.ofMillis(500);
    private static final Duration AGENT_GOSSIP_INTERVAL = Duration.ofMillis(1_500);
    private static final Duration STARTUP_WAIT = Duration.ofSeconds(1);
    private static final Duration DAMAGED_RETRY_INTERVAL = Duration.ofSeconds(30);
    private static final int MAX_RECORDS_PER_POLL = 200;

    private final Peer self;
    private final ActiveTable activeTable = new ActiveTable();
    private final Membership membership;
    private final TableGossip gossip;
    private final PollScheduler pollScheduler;
    private final @Nullable TableReader reader;
    private final Dependencies dependencies;
    private final long startedNanos;
    private boolean platformAnswered;
    private boolean platformDown;
    private boolean stopped;
    private boolean peerAnswered;
    private boolean fullReadRequired;
    private long damagedRevision = -1;
    private long damagedRetryNanos;
    private boolean activationReported;

    /**
     * What the process gives to its table node.
     *
     * @param time time of the process
     * @param delay waits between polls and rounds
     * @param control executor of the control thread
     * @param send sends a message over a link; messages to peers without a link are dropped
     * @param onActivated told of each table that comes into force
     */
    public record Dependencies(
            TimeSource time,
            Delay delay,
            Executor control,
            Consumer<OutgoingMessage> send,
            Consumer<TableSnapshot> onActivated) {}

    /**
     * Creates a node.
     *
     * @param service platform's table service; null for processes that do not read the table from it
     */
    public TableReplica(Peer self, @Nullable TableService service, Dependencies dependencies, Random random) {
        this.self = self;
        this.dependencies = dependencies;
        this.membership = new Membership(dependencies.time());
        this.gossip = new TableGossip(self, activeTable, dependencies.time(), random);
        this.pollScheduler = new PollScheduler(random);
        this.reader = service == null ? null : new TableReader(service);
        this.startedNanos = dependencies.time().monotonicNanos();
    }

    /** Starts polls and rounds. */
    public void start() {
        if (reader != null) {
            poll(reader);
        }
        gossipRound();
        schedule(STARTUP_WAIT, this::reportActiveTable);
    }

    /** Ends polls and rounds. */
    public void stop() {
        stopped = true;
    }

    /** Returns the table's holder. */
    public ActiveTable activeTable() {
        return activeTable;
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
        boolean waited = dependencies.time().monotonicNanos() - startedNanos >= STARTUP_WAIT.toNanos();
        return activeTable.current().revision() > 0 && (waited || (platformAnswered && peerAnswered));
    }

    /** Returns the announcement of what is in force here; safe to call from any thread. */
    public TableMessage announcement() {
        return gossip.announcement();
    }

    /** Takes a new link. */
    public void onLinkUp(Peer peer) {
        membership.onLinkUp(peer);
        dependencies.send().accept(new OutgoingMessage(peer, gossip.announcement()));
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
        membership.onFrameReceived(from);
        peerAnswered = true;
        long previousRevision = activeTable.current().revision();
        gossip.handle(from, message).forEach(dependencies.send());
        onPossibleUpdate(previousRevision);
    }

    /** Takes the revision that any other frame of a peer carried. */
    public void onRevision(Peer from, long revision) {
        membership.onFrameReceived(from);
        if (revision > activeTable.current().revision()) {
            gossip.onHigherRevision(from, revision).forEach(dependencies.send());
        }
    }

    private void gossipRound() {
        if (stopped) {
            return;
        }
        gossip.periodicAnnouncements(membership.linkedPeers()).forEach(dependencies.send());
        Duration wait = self.role() == Peer.Role.ENTRY ? ENTRY_GOSSIP_INTERVAL : AGENT_GOSSIP_INTERVAL;
        schedule(wait, this::gossipRound);
    }

    private void poll(TableReader source) {
        if (stopped) {
            return;
        }
        var unused = source.readRevision()
                .thenComposeAsync(revision -> read(source, revision), dependencies.control())
                .whenCompleteAsync(
                        (done, error) -> onPolled(source, error == null ? null : FirwheelException.of(error)),
                        dependencies.control());
    }

    /** Reads what follows the table in force, or the whole table when there is none or the changes do not fit. */
    private CompletableFuture<Void> read(TableReader source, long revision) {
        long activeRevision = activeTable.current().revision();
        if (revision < activeRevision) {
            Events.log(
                    LOGGER,
                    EventCode.TABLE_OLDER,
                    "offered",
                    revision,
                    "inForce",
                    activeRevision,
                    "source",
                    "platform");
        }
        if (revision <= activeRevision) {
            platformAnswered = true;
            return CompletableFuture.completedFuture(null);
        }
        if (activeRevision > 0 && !fullReadRequired) {
            return source.readAuditRecords(activeRevision, MAX_RECORDS_PER_POLL)
                    .thenAcceptAsync(this::offerRecords, dependencies.control());
        }
        if (revision == damagedRevision && dependencies.time().monotonicNanos() < damagedRetryNanos) {
            return CompletableFuture.completedFuture(null);
        }
        damagedRevision = revision;
        damagedRetryNanos = dependencies.time().monotonicNanos() + DAMAGED_RETRY_INTERVAL.toNanos();
        return source.read().thenAcceptAsync(this::offer, dependencies.control());
    }

    private void offer(TableSnapshot table) {
        long previousRevision = activeTable.current().revision();
        if (activeTable.offer(table) != OfferResult.REJECTED) {
            damagedRevision = -1;
            fullReadRequired = false;
            platformAnswered = true;
        }
        onPossibleUpdate(previousRevision);
    }

    private void offerRecords(List<AuditRecord> records) {
        long previousRevision = activeTable.current().revision();
        OfferResult result = activeTable.offerAuditRecords(records);
        fullReadRequired = result == OfferResult.GAP || result == OfferResult.REJECTED || records.isEmpty();
        platformAnswered = platformAnswered || !fullReadRequired;
        onPossibleUpdate(previousRevision);
    }

    private void onPolled(TableReader source, @Nullable FirwheelException failure) {
        if (stopped) {
            return;
        }
        boolean damaged = failure != null && failure.code() == ResultCode.TABLE_FIELD;
        if (failure != null && damaged) {
            fullReadRequired = true;
            Events.log(LOGGER, EventCode.TABLE_REJECTED, "detail", String.valueOf(failure.getMessage()));
        }
        updatePlatformState(damaged ? null : failure);
        int zoneEntries = 1 + membership.linkedEntryCount(self.availabilityZone());
        schedule(pollScheduler.nextDelay(zoneEntries, failure != null), () -> poll(source));
    }

    private void updatePlatformState(@Nullable FirwheelException failure) {
        if (failure != null && !platformDown) {
            Events.log(LOGGER, EventCode.PLATFORM_DOWN, "code", failure.code().label());
        } else if (failure == null && platformDown) {
            Events.log(LOGGER, EventCode.PLATFORM_BACK);
        }
        platformDown = failure != null;
    }

    private void schedule(Duration wait, Runnable work) {
        var unused = dependencies.delay().after(wait).thenRunAsync(work, dependencies.control());
    }

    private void onPossibleUpdate(long previousRevision) {
        if (activeTable.current().revision() > previousRevision) {
            gossip.push(previousRevision, membership.linkedPeers()).forEach(dependencies.send());
            reportActiveTable();
        } else if (!activationReported) {
            reportActiveTable();
        }
    }

    private void reportActiveTable() {
        if (!stopped && ready()) {
            activationReported = true;
            dependencies.onActivated().accept(activeTable.table());
        }
    }
}
