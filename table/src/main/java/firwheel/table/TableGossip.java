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
 * Decides what a process tells its peers about the table. A new revision is pushed to some entries of the zone and to
 * the agents that this entry looks after; regular announcements to random peers find whoever is behind. Control thread
 * only.
 */
public final class TableGossip {
    private static final Logger LOGGER = LoggerFactory.getLogger(TableGossip.class);
    private static final int ZONE_FAN_OUT = 4;
    private static final int ENTRIES_PER_AGENT = 2;
    private static final long PULL_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final Peer self;
    private final ActiveTable holder;
    private final TimeSource time;
    private final Random random;
    private @Nullable SnapshotPages served;
    private @Nullable SnapshotAssembly assembly;
    private long pullRevision;
    private long pullNanos;

    /** Creates the gossip of {@code self} over the table that {@code holder} holds. */
    public TableGossip(Peer self, ActiveTable holder, TimeSource time, Random random) {
        this.self = self;
        this.holder = holder;
        this.time = time;
        this.random = random;
        this.pullNanos = time.monotonicNanos() - PULL_TIMEOUT_NANOS;
    }

    /** Returns the announcement of what is in force here. */
    public TableMessage announcement() {
        TableWithDigest held = holder.current();
        return new TableMessage.Announce(held.revision(), held.digest());
    }

    /** Returns the announcements of one round: to a random entry of the own zone and to one of another zone. */
    public List<Outgoing> round(List<Peer> live) {
        List<Outgoing> out = new ArrayList<>();
        pick(live, peer -> isZoneEntry(peer)).ifPresent(peer -> out.add(new Outgoing(peer, announcement())));
        pick(live, peer -> peer.role() == Peer.Role.ENTRY && !isZoneEntry(peer))
                .ifPresent(peer -> out.add(new Outgoing(peer, announcement())));
        if (out.isEmpty()) {
            pick(live, peer -> true).ifPresent(peer -> out.add(new Outgoing(peer, announcement())));
        }
        return out;
    }

    /** Returns what to send after the table in force went from {@code previousRevision} to a later one. */
    public List<Outgoing> push(long previousRevision, List<Peer> live) {
        if (self.role() == Peer.Role.AGENT) {
            return List.of();
        }
        List<RevisionPatch> steps = holder.patchesAfter(previousRevision, TableMessage.MAX_BYTES);
        TableMessage message = steps.isEmpty()
                ? announcement()
                : new TableMessage.Patches(steps, holder.current().revision());
        List<Peer> entries =
                new ArrayList<>(live.stream().filter(this::isZoneEntry).toList());
        List<Outgoing> out = new ArrayList<>();
        live.stream()
                .filter(peer -> peer.role() == Peer.Role.AGENT && looksAfter(peer, entries))
                .forEach(peer -> out.add(new Outgoing(peer, message)));
        Collections.shuffle(entries, random);
        entries.stream().limit(ZONE_FAN_OUT).forEach(peer -> out.add(new Outgoing(peer, message)));
        return out;
    }

    /** Returns the answers to a message. The caller pushes when the table in force changed. */
    public List<Outgoing> receive(Peer from, TableMessage message) {
        if (message instanceof TableMessage.Announce announce) {
            return onAnnounce(from, announce);
        }
        if (message instanceof TableMessage.Pull pull) {
            return List.of(new Outgoing(from, since(pull.revision())));
        }
        if (message instanceof TableMessage.Patches patches) {
            return onPatches(from, patches);
        }
        if (message instanceof TableMessage.PullPage pullPage) {
            return List.of(new Outgoing(from, page(pullPage.revision(), pullPage.page())));
        }
        return onPage(from, (TableMessage.SnapshotPage) message);
    }

    /** Returns what to send when a peer was seen to be ahead. */
    public List<Outgoing> onHigherRevision(Peer from, long revision) {
        return pull(from, revision);
    }

    private List<Outgoing> onAnnounce(Peer from, TableMessage.Announce announce) {
        TableWithDigest held = holder.current();
        if (announce.revision() > held.revision()) {
            return pull(from, announce.revision());
        }
        if (announce.revision() < held.revision()) {
            List<RevisionPatch> steps = holder.patchesAfter(announce.revision(), TableMessage.MAX_BYTES);
            TableMessage answer = steps.isEmpty() ? announcement() : new TableMessage.Patches(steps, held.revision());
            return List.of(new Outgoing(from, answer));
        }
        if (announce.digest() != held.digest()) {
            Events.log(LOGGER, EventCode.TABLE_FORKED, "revision", held.revision(), "peer", from.address());
        }
        return List.of();
    }

    private List<Outgoing> onPatches(Peer from, TableMessage.Patches patches) {
        OfferResult adoption = holder.offerPatches(patches.patches());
        if (adoption == OfferResult.REJECTED) {
            return pullPages(from, 0);
        }
        boolean behind = patches.latestRevision() > holder.current().revision();
        return behind ? pull(from, patches.latestRevision()) : List.of();
    }

    private List<Outgoing> onPage(Peer from, TableMessage.SnapshotPage page) {
        if (page.revision() <= holder.current().revision()) {
            assembly = null;
            return List.of();
        }
        SnapshotAssembly current = assembly;
        if (current == null || !current.expects(from, page)) {
            boolean replaceable = current == null
                    || (page.page() == 0 && page.revision() >= current.revision())
                    || stale(current.startedNanos());
            if (!replaceable) {
                return List.of();
            }
            current = new SnapshotAssembly(from, page.revision(), time.monotonicNanos());
            assembly = current;
            if (page.page() != 0) {
                return List.of(new Outgoing(from, new TableMessage.PullPage(page.revision(), 0)));
            }
        }
        Optional<TableSnapshot> table = current.add(page);
        if (table.isEmpty()) {
            pullNanos = time.monotonicNanos();
            return List.of(new Outgoing(from, new TableMessage.PullPage(page.revision(), current.nextPage())));
        }
        assembly = null;
        if (TableDigest.of(table.get()) == page.digest()) {
            holder.offer(table.get());
        }
        return List.of();
    }

    /** Asks once for a revision; asks again only after a timeout or for a later revision. */
    private List<Outgoing> pull(Peer from, long revision) {
        if (revision <= pullRevision && !stale(pullNanos)) {
            return List.of();
        }
        pullRevision = revision;
        pullNanos = time.monotonicNanos();
        return List.of(new Outgoing(from, new TableMessage.Pull(holder.current().revision())));
    }

    private List<Outgoing> pullPages(Peer from, long revision) {
        assembly = null;
        return List.of(new Outgoing(from, new TableMessage.PullPage(revision, 0)));
    }

    private boolean stale(long sinceNanos) {
        return time.monotonicNanos() - sinceNanos >= PULL_TIMEOUT_NANOS;
    }

    private TableMessage since(long revision) {
        TableWithDigest held = holder.current();
        if (revision >= held.revision()) {
            return announcement();
        }
        List<RevisionPatch> steps = holder.patchesAfter(revision, TableMessage.MAX_BYTES);
        return steps.isEmpty() ? page(0, 0) : new TableMessage.Patches(steps, held.revision());
    }

    private TableMessage page(long revision, int page) {
        SnapshotPages pages = served;
        if (pages != null && pages.revision() == revision) {
            return pages.page(page);
        }
        if (pages == null || pages.revision() != holder.current().revision()) {
            pages = new SnapshotPages(holder.current());
            served = pages;
        }
        return pages.page(0);
    }

    /** Returns whether this entry is one of the few of its zone that push to {@code agent}. */
    private boolean looksAfter(Peer agent, List<Peer> zoneEntries) {
        long own = weight(agent, self);
        long ahead =
                zoneEntries.stream().filter(entry -> weight(agent, entry) > own).count();
        return ahead < ENTRIES_PER_AGENT;
    }

    private static long weight(Peer agent, Peer entry) {
        return HASH.hashChars(agent.address() + "|" + entry.address());
    }

    private boolean isZoneEntry(Peer peer) {
        return peer.role() == Peer.Role.ENTRY && peer.availabilityZone().equals(self.availabilityZone());
    }

    private Optional<Peer> pick(List<Peer> live, Predicate<Peer> wanted) {
        List<Peer> found = live.stream()
                .filter(wanted)
                .sorted(Comparator.comparing(Peer::address))
                .toList();
        return found.isEmpty() ? Optional.empty() : Optional.of(found.get(random.nextInt(found.size())));
    }
}
