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
 * Replica of the table in one process, kept up to date from the platform and from peers. The entries of a zone share
 * the polling of the platform; agents receive the table from entries only. Control thread only, except where stated
 * otherwise.
 */
public final class TableReplica {
    private static final Logger LOGGER = LoggerFactory.getLogger(TableReplica.class);
    private static final Duration ENTRY_GOSSIP_INTERVAL = Duration.ofMillis(500);
    private static final Duration AGENT_GOSSIP_INTERVAL = Duration.ofMillis(1_500);
    private static final Duration STARTUP_WAIT = Duration.ofSeconds(1);
    private static final Duration FULL_READ_RETRY_INTERVAL = Duration.ofSeconds(30);
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

    /** Revision of the last full read that has not succeeded; -1 if there is none. */
    private long lastFullReadRevision = -1;

    /** Time from which the full read of that revision may be repeated. */
    private long fullReadRetryNanos;

    private boolean activationReported;

    /**
     * Collaborators of a replica.
     *
     * @param time clock
     * @param delay timer for polls and gossip rounds
     * @param control executor of the control thread
     * @param send sends a message over a link; messages to peers without a link are dropped
     * @param onActivated called with each table that becomes active
     */
    public record Dependencies(
            TimeSource time,
            Delay delay,
            Executor control,
            Consumer<OutgoingMessage> send,
            Consumer<TableSnapshot> onActivated) {}

    /**
     * Creates a replica.
     *
     * @param service platform's table service; null for processes that do not read the table from the platform
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

    /** Starts polling and gossip rounds. */
    public void start() {
        if (reader != null) {
            poll(reader);
        }
        gossipRound();
        schedule(STARTUP_WAIT, this::reportActiveTable);
    }

    /** Stops polling and gossip rounds. */
    public void stop() {
        stopped = true;
    }

    public ActiveTable activeTable() {
        return activeTable;
    }

    public Membership membership() {
        return membership;
    }

    /**
     * Returns whether the process may serve with its table: it has a table, and either both the platform and a peer
     * have responded or the startup wait is over. This prevents a starting process from serving with a table older than
     * that of its peers.
     */
    public boolean ready() {
        boolean waited = dependencies.time().monotonicNanos() - startedNanos >= STARTUP_WAIT.toNanos();
        return activeTable.current().revision() > 0 && (waited || (platformAnswered && peerAnswered));
    }

    /** Returns an announcement of the active table. May be called from any thread. */
    public TableMessage announcement() {
        return gossip.announcement();
    }

    /** Handles a new link. */
    public void onLinkUp(Peer peer) {
        membership.onLinkUp(peer);
        dependencies.send().accept(new OutgoingMessage(peer, gossip.announcement()));
    }

    /** Handles the end of a link. */
    public void onLinkDown(Peer peer) {
        membership.onLinkDown(peer);
    }

    /** Handles a message from a peer. */
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

    /** Handles the revision carried by any other frame of a peer. */
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

    /**
     * Reads the changes after the active revision, or the full table when there is none yet or the changes did not
     * apply.
     */
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
        if (revision == lastFullReadRevision && dependencies.time().monotonicNanos() < fullReadRetryNanos) {
            return CompletableFuture.completedFuture(null);
        }
        lastFullReadRevision = revision;
        fullReadRetryNanos = dependencies.time().monotonicNanos() + FULL_READ_RETRY_INTERVAL.toNanos();
        return source.read().thenAcceptAsync(this::offer, dependencies.control());
    }

    private void offer(TableSnapshot table) {
        long previousRevision = activeTable.current().revision();
        if (activeTable.offer(table) != OfferResult.REJECTED) {
            lastFullReadRevision = -1;
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
        boolean corrupted = failure != null && failure.code() == ResultCode.TABLE_FIELD;
        if (failure != null && corrupted) {
            fullReadRequired = true;
            Events.log(LOGGER, EventCode.TABLE_REJECTED, "detail", String.valueOf(failure.getMessage()));
        }
        updatePlatformState(corrupted ? null : failure);
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
