package firwheel.table;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.TableSnapshot;
import firwheel.model.TimeSource;
import firwheel.table.ActiveTable.OfferResult;
import firwheel.table.ActiveTable.TableWithDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gossip protocol for the table. An entry pushes a new revision to some entries of its zone and to the agents that it
 * is responsible for; periodic announcements to random peers detect peers that missed a push. Control thread only.
 */
public final class TableGossip {
    private static final Logger LOGGER = LoggerFactory.getLogger(TableGossip.class);
    private static final int ZONE_FANOUT = 4;
    private static final int PUSHERS_PER_AGENT = 2;
    private static final long PULL_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final Peer self;
    private final ActiveTable activeTable;
    private final TimeSource time;
    private final Random random;
    private @Nullable SnapshotPages cachedPages;
    private @Nullable SnapshotAssembler incomingSnapshot;
    private long lastPullRevision;
    private long lastPullNanos;

    /** Creates the gossip protocol of {@code self} for {@code activeTable}. */
    public TableGossip(Peer self, ActiveTable activeTable, TimeSource time, Random random) {
        this.self = self;
        this.activeTable = activeTable;
        this.time = time;
        this.random = random;
        this.lastPullNanos = time.monotonicNanos() - PULL_TIMEOUT_NANOS;
    }

    /** Returns an announcement of the active table. */
    public TableMessage announcement() {
        TableWithDigest local = activeTable.current();
        return new TableMessage.Announce(local.revision(), local.digest());
    }

    /**
     * Returns the announcements of one gossip round: to a random entry of the own zone and to a random entry of another
     * zone, or to any random peer when there are no entries.
     */
    public List<OutgoingMessage> periodicAnnouncements(List<Peer> live) {
        List<OutgoingMessage> out = new ArrayList<>();
        pickRandom(live, peer -> isOwnZoneEntry(peer))
                .ifPresent(peer -> out.add(new OutgoingMessage(peer, announcement())));
        pickRandom(live, peer -> peer.role() == Peer.Role.ENTRY && !isOwnZoneEntry(peer))
                .ifPresent(peer -> out.add(new OutgoingMessage(peer, announcement())));
        if (out.isEmpty()) {
            pickRandom(live, peer -> true).ifPresent(peer -> out.add(new OutgoingMessage(peer, announcement())));
        }
        return out;
    }

    /** Returns the messages to send after the active table changed from {@code previousRevision} to a later one. */
    public List<OutgoingMessage> push(long previousRevision, List<Peer> live) {
        if (self.role() == Peer.Role.AGENT) {
            return List.of();
        }
        List<RevisionPatch> patches = activeTable.patchesAfter(previousRevision, TableMessage.MAX_BYTES);
        TableMessage message = patches.isEmpty()
                ? announcement()
                : new TableMessage.Patches(patches, activeTable.current().revision());
        List<Peer> entries =
                new ArrayList<>(live.stream().filter(this::isOwnZoneEntry).toList());
        List<OutgoingMessage> out = new ArrayList<>();
        live.stream()
                .filter(peer -> peer.role() == Peer.Role.AGENT && isResponsibleFor(peer, entries))
                .forEach(peer -> out.add(new OutgoingMessage(peer, message)));
        Collections.shuffle(entries, random);
        entries.stream().limit(ZONE_FANOUT).forEach(peer -> out.add(new OutgoingMessage(peer, message)));
        return out;
    }

    /**
     * Returns the responses to a message. When the active table changes, the caller pushes the change to other peers.
     */
    public List<OutgoingMessage> handle(Peer from, TableMessage message) {
        if (message instanceof TableMessage.Announce announce) {
            return onAnnounce(from, announce);
        }
        if (message instanceof TableMessage.Pull pull) {
            return List.of(new OutgoingMessage(from, changesSince(pull.revision())));
        }
        if (message instanceof TableMessage.Patches patches) {
            return onPatches(from, patches);
        }
        if (message instanceof TableMessage.PullPage pullPage) {
            return List.of(new OutgoingMessage(from, page(pullPage.revision(), pullPage.page())));
        }
        return onPage(from, (TableMessage.SnapshotPage) message);
    }

    /** Returns the messages to send when a peer has a higher revision. */
    public List<OutgoingMessage> onHigherRevision(Peer from, long revision) {
        return pull(from, revision);
    }

    private List<OutgoingMessage> onAnnounce(Peer from, TableMessage.Announce announce) {
        TableWithDigest local = activeTable.current();
        if (announce.revision() > local.revision()) {
            return pull(from, announce.revision());
        }
        if (announce.revision() < local.revision()) {
            List<RevisionPatch> patches = activeTable.patchesAfter(announce.revision(), TableMessage.MAX_BYTES);
            TableMessage response =
                    patches.isEmpty() ? announcement() : new TableMessage.Patches(patches, local.revision());
            return List.of(new OutgoingMessage(from, response));
        }
        if (announce.digest() != local.digest()) {
            Events.log(LOGGER, EventCode.TABLE_FORKED, "revision", local.revision(), "peer", from.address());
        }
        return List.of();
    }

    private List<OutgoingMessage> onPatches(Peer from, TableMessage.Patches patches) {
        OfferResult result = activeTable.offerPatches(patches.patches());
        if (result == OfferResult.REJECTED) {
            return pullPages(from, 0);
        }
        boolean behind = patches.latestRevision() > activeTable.current().revision();
        return behind ? pull(from, patches.latestRevision()) : List.of();
    }

    private List<OutgoingMessage> onPage(Peer from, TableMessage.SnapshotPage page) {
        if (page.revision() <= activeTable.current().revision()) {
            incomingSnapshot = null;
            return List.of();
        }
        SnapshotAssembler current = incomingSnapshot;
        if (current == null || !current.expects(from, page)) {
            boolean replaceable = current == null
                    || (page.page() == 0 && page.revision() >= current.revision())
                    || timedOut(current.startedNanos());
            if (!replaceable) {
                return List.of();
            }
            current = new SnapshotAssembler(from, page.revision(), time.monotonicNanos());
            incomingSnapshot = current;
            if (page.page() != 0) {
                return List.of(new OutgoingMessage(from, new TableMessage.PullPage(page.revision(), 0)));
            }
        }
        Optional<TableSnapshot> table = current.add(page);
        if (table.isEmpty()) {
            lastPullNanos = time.monotonicNanos();
            return List.of(new OutgoingMessage(from, new TableMessage.PullPage(page.revision(), current.nextPage())));
        }
        incomingSnapshot = null;
        if (TableDigest.of(table.get()) == page.digest()) {
            activeTable.offer(table.get());
        }
        return List.of();
    }

    /** Requests a revision. The request is repeated only after a timeout, but a later revision is requested at once. */
    private List<OutgoingMessage> pull(Peer from, long revision) {
        if (revision <= lastPullRevision && !timedOut(lastPullNanos)) {
            return List.of();
        }
        lastPullRevision = revision;
        lastPullNanos = time.monotonicNanos();
        return List.of(new OutgoingMessage(
                from, new TableMessage.Pull(activeTable.current().revision())));
    }

    private List<OutgoingMessage> pullPages(Peer from, long revision) {
        incomingSnapshot = null;
        return List.of(new OutgoingMessage(from, new TableMessage.PullPage(revision, 0)));
    }

    private boolean timedOut(long sinceNanos) {
        return time.monotonicNanos() - sinceNanos >= PULL_TIMEOUT_NANOS;
    }

    private TableMessage changesSince(long revision) {
        TableWithDigest local = activeTable.current();
        if (revision >= local.revision()) {
            return announcement();
        }
        List<RevisionPatch> patches = activeTable.patchesAfter(revision, TableMessage.MAX_BYTES);
        return patches.isEmpty() ? page(0, 0) : new TableMessage.Patches(patches, local.revision());
    }

    private TableMessage page(long revision, int page) {
        SnapshotPages pages = cachedPages;
        if (pages != null && pages.revision() == revision) {
            return pages.page(page);
        }
        if (pages == null || pages.revision() != activeTable.current().revision()) {
            pages = new SnapshotPages(activeTable.current());
            cachedPages = pages;
        }
        return pages.page(0);
    }

    /**
     * Returns whether this entry is one of the entries of its zone that push to {@code agent}. They are selected by
     * rendezvous hashing.
     */
    private boolean isResponsibleFor(Peer agent, List<Peer> zoneEntries) {
        long ownWeight = rendezvousWeight(agent, self);
        long higherRanked = zoneEntries.stream()
                .filter(entry -> rendezvousWeight(agent, entry) > ownWeight)
                .count();
        return higherRanked < PUSHERS_PER_AGENT;
    }

    private static long rendezvousWeight(Peer agent, Peer entry) {
        return HASH.hashChars(agent.address() + "|" + entry.address());
    }

    private boolean isOwnZoneEntry(Peer peer) {
        return peer.role() == Peer.Role.ENTRY && peer.availabilityZone().equals(self.availabilityZone());
    }

    private Optional<Peer> pickRandom(List<Peer> live, Predicate<Peer> wanted) {
        List<Peer> found = live.stream()
                .filter(wanted)
                .sorted(Comparator.comparing(Peer::address))
                .toList();
        return found.isEmpty() ? Optional.empty() : Optional.of(found.get(random.nextInt(found.size())));
    }
}
