package firwheel.bench.capacity;

import java.util.List;
import java.util.OptionalDouble;

/** Defines the rows of the capacity page: each computes a quantity from the deployment size and the measured slopes. */
final class CapacityModel {
    private static final double MAX_CONTROL_BYTES_PER_SECOND = 5_000;
    private static final double MAX_CONTROL_HEAP_MB = 32;
    private static final double MAX_CONTROL_CORE_PERCENT = 2.4;
    private static final double MAX_PLATFORM_READS_PER_SECOND = 200;
    private static final double MAX_PLATFORM_WRITES_PER_SECOND = 30;
    private static final double MAX_PROPAGATION_SECONDS = 4;

    private static final double BYTES_PER_MB = 1_000_000;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double PACKET_HEADER_BYTES = 66;
    private static final double PROBES_PER_REQUEST = 3;
    private static final double CLOCK_READINGS_PER_SECOND = 1;
    private static final double REPORTS_PER_SECOND = 2;
    private static final double LOAD_CHANGES_PER_REQUEST = 2;
    private static final double GOSSIP_ROUNDS_PER_SECOND = 2;
    private static final double ANNOUNCEMENTS_PER_ROUND = 2;
    private static final double PATCH_FAN_OUT = 4;
    private static final double ENTRIES_PER_AGENT = 2;
    private static final double MAX_POLL_INTERVAL_SECONDS = 2.5;
    private static final double POLLS_PER_ZONE_SECOND = 4;
    private static final double LEASE_RENEWAL_SECONDS = 10.0 / 3;
    private static final double WRITES_PER_CLAIM = 2;
    private static final double AUDIT_RETENTION_DAYS = 400;
    private static final double MICROS_PER_CORE_PERCENT = 10_000;
    private static final double ATTEMPT_RECORD_RETENTION_SECONDS = 900;
    private static final double PATCH_HOPS = 3;
    private static final double SECONDS_PER_HOP = 0.2;

    private CapacityModel() {}

    static List<CapacityRow> rows() {
        return List.of(
                entryLinks(),
                entryLinkHeap(),
                entryTableHeap(),
                entryLoadHeap(),
                entryRouting(),
                entryFrameCodec(),
                entryProbes(),
                entryClocks(),
                entryReports(),
                entryGossip(),
                entryPatches(),
                entryTableUpdates(),
                entryTotalBytes(),
                entryTotalHeap(),
                agentTotalHeap(),
                agentLinks(),
                agentTableHeap(),
                agentRecordHeap(),
                agentAdmission(),
                agentControlBytes(),
                platformPolls(),
                platformLeases(),
                platformChanges(),
                platformClaims(),
                platformAuditStorage(),
                platformRecovery(),
                entryBootstrapBytes(),
                zoneBootstrapBytes(),
                changePropagation());
    }

    private static OptionalDouble limit(double value) {
        return OptionalDouble.of(value);
    }

    private static CapacityRow entryLinks() {
        return new CapacityRow(
                "entry",
                "links to agents and entries of its zone",
                "one link to each agent and entry of the zone, shared by all requests",
                OptionalDouble.empty(),
                "",
                (size, slopes) -> size.targetsPerZone() + size.entriesPerZone() - 1);
    }

    private static CapacityRow entryLinkHeap() {
        return new CapacityRow(
                "entry",
                "heap of links, MB",
                "idle links hold no buffers of their own",
                limit(MAX_CONTROL_HEAP_MB),
                "",
                (size, slopes) -> (size.targetsPerZone() + size.entriesPerZone())
                        * slopes.get(Slope.LINK_HEAP_BYTES)
                        / BYTES_PER_MB);
    }

    private static CapacityRow entryTableHeap() {
        return new CapacityRow(
                "entry",
                "heap of the table, MB",
                "one immutable snapshot in force",
                limit(MAX_CONTROL_HEAP_MB),
                "",
                (size, slopes) -> size.rows() * slopes.get(Slope.TABLE_ROW_HEAP_BYTES) / BYTES_PER_MB);
    }

    private static CapacityRow entryLoadHeap() {
        return new CapacityRow(
                "entry",
                "heap of rank loads, MB",
                "one record for each rank of the own zone",
                limit(MAX_CONTROL_HEAP_MB),
                "",
                (size, slopes) -> size.targetsPerZone() * slopes.get(Slope.RANK_HEAP_BYTES) / BYTES_PER_MB);
    }

    private static CapacityRow entryRouting() {
        return new CapacityRow(
                "entry",
                "routing, % of a core",
                "decision over the zone's ranks, indexed for each table snapshot",
                limit(MAX_CONTROL_CORE_PERCENT),
                "",
                (size, slopes) -> size.requestsPerEntry() * slopes.get(Slope.ROUTE_MICROS) / MICROS_PER_CORE_PERCENT);
    }

    private static CapacityRow entryFrameCodec() {
        return new CapacityRow(
                "entry",
                "decoding and encoding frames of tokens, % of a core (data path)",
                "one frame a token, one event loop",
                OptionalDouble.empty(),
                "",
                (size, slopes) -> size.tokensPerSecond()
                        / size.entries()
                        * slopes.get(Slope.FRAME_MICROS)
                        / MICROS_PER_CORE_PERCENT);
    }

    private static CapacityRow entryProbes() {
        return new CapacityRow(
                "entry",
                "probes and reports, bytes/s",
                "up to three asynchronous probes a request",
                limit(MAX_CONTROL_BYTES_PER_SECOND),
                "",
                (size, slopes) -> size.requestsPerEntry()
                        * PROBES_PER_REQUEST
                        * (slopes.get(Slope.PROBE_BYTES) + slopes.get(Slope.REPORT_BYTES) + 2 * PACKET_HEADER_BYTES));
    }

    private static CapacityRow entryClocks() {
        return new CapacityRow(
                "entry",
                "clock readings of agents, bytes/s",
                "each agent sends one a second over each link",
                limit(MAX_CONTROL_BYTES_PER_SECOND),
                "",
                (size, slopes) -> size.targetsPerZone()
                        * CLOCK_READINGS_PER_SECOND
                        * (slopes.get(Slope.CLOCK_BYTES) + PACKET_HEADER_BYTES));
    }

    private static CapacityRow entryReports() {
        return new CapacityRow(
                "entry",
                "load reports beside probes, bytes/s",
                "two a second from each agent with an open attempt, and one with the next piece after each change of load",
                limit(MAX_CONTROL_BYTES_PER_SECOND),
                "",
                (size, slopes) -> agentsWithOpenAttempts(size)
                                * REPORTS_PER_SECOND
                                * (slopes.get(Slope.REPORT_BYTES) + PACKET_HEADER_BYTES)
                        + agentsWithOpenAttempts(size)
                                * size.requestsPerTarget()
                                * LOAD_CHANGES_PER_REQUEST
                                * slopes.get(Slope.REPORT_BYTES));
    }

    /** Returns the number of agents on which an entry has attempts in progress, by Little's law. */
    private static double agentsWithOpenAttempts(DeploymentSize size) {
        return Math.min(size.targetsPerZone(), size.requestsPerEntry() * size.requestSeconds());
    }

    /** Returns the number of entries that have attempts in progress on an agent, by Little's law. */
    private static double entriesWithOpenAttempts(DeploymentSize size) {
        return Math.min(size.entriesPerZone(), size.requestsPerTarget() * size.requestSeconds());
    }

    private static CapacityRow entryGossip() {
        return new CapacityRow(
                "entry",
                "announcements sent and received, bytes/s",
                "two rounds a second, one peer of the zone and one of another zone each",
                limit(MAX_CONTROL_BYTES_PER_SECOND),
                "",
                (size, slopes) -> 2
                        * GOSSIP_ROUNDS_PER_SECOND
                        * ANNOUNCEMENTS_PER_ROUND
                        * (slopes.get(Slope.ANNOUNCE_BYTES) + PACKET_HEADER_BYTES));
    }

    private static CapacityRow entryPatches() {
        return new CapacityRow(
                "entry",
                "table changes sent and received, bytes/s in working hours",
                "each change goes to four peers and to the agents that the entry looks after",
                limit(MAX_CONTROL_BYTES_PER_SECOND),
                "",
                (size, slopes) -> size.changesPerSecond()
                        * (slopes.get(Slope.PATCH_BYTES) + PACKET_HEADER_BYTES)
                        * (2 * PATCH_FAN_OUT + ENTRIES_PER_AGENT * size.targetsPerZone() / size.entriesPerZone()));
    }

    /** The formula scales linearly with the table size because {@code ADOPT_MILLIS} is measured on 12,000 rows. */
    private static CapacityRow entryTableUpdates() {
        return new CapacityRow(
                "entry",
                "taking changes into the table, % of a core in working hours",
                "new snapshot for each change",
                limit(MAX_CONTROL_CORE_PERCENT),
                "",
                (size, slopes) -> size.changesPerSecond()
                        * slopes.get(Slope.ADOPT_MILLIS)
                        * 1_000
                        / MICROS_PER_CORE_PERCENT
                        * size.rows()
                        / 12_000);
    }

    private static CapacityRow entryTotalBytes() {
        return new CapacityRow(
                "entry",
                "all control traffic, bytes/s in working hours",
                "sum of probes, clock readings, reports, announcements, changes and whole tables",
                limit(MAX_CONTROL_BYTES_PER_SECOND),
                "",
                (size, slopes) -> sum(
                        size,
                        slopes,
                        entryProbes(),
                        entryClocks(),
                        entryReports(),
                        entryGossip(),
                        entryPatches(),
                        entryBootstrapBytes()));
    }

    private static CapacityRow entryTotalHeap() {
        return new CapacityRow(
                "entry",
                "all control state, MB",
                "sum of links, table and rank loads",
                limit(MAX_CONTROL_HEAP_MB),
                "",
                (size, slopes) -> sum(size, slopes, entryLinkHeap(), entryTableHeap(), entryLoadHeap()));
    }

    private static CapacityRow agentTotalHeap() {
        return new CapacityRow(
                "agent",
                "all control state, MB",
                "sum of table and attempt records",
                limit(MAX_CONTROL_HEAP_MB),
                "",
                (size, slopes) -> sum(size, slopes, agentTableHeap(), agentRecordHeap()));
    }

    private static double sum(DeploymentSize size, RecordedSlopes slopes, CapacityRow... rows) {
        double total = 0;
        for (CapacityRow row : rows) {
            total += row.formula().applyAsDouble(size, slopes);
        }
        return total;
    }

    private static CapacityRow agentLinks() {
        return new CapacityRow(
                "agent",
                "links from entries of its zone",
                "opened by entries",
                OptionalDouble.empty(),
                "",
                (size, slopes) -> size.entriesPerZone());
    }

    private static CapacityRow agentTableHeap() {
        return new CapacityRow(
                "agent",
                "heap of the table, MB",
                "the whole table, so that an agent can hand it to a starting entry",
                limit(MAX_CONTROL_HEAP_MB),
                "",
                (size, slopes) -> size.rows() * slopes.get(Slope.TABLE_ROW_HEAP_BYTES) / BYTES_PER_MB);
    }

    private static CapacityRow agentRecordHeap() {
        return new CapacityRow(
                "agent",
                "heap of attempt records without buffered answers, MB",
                "records of 15 minutes, at most 65,536",
                limit(MAX_CONTROL_HEAP_MB),
                "",
                (size, slopes) -> size.requestsPerTarget()
                        * ATTEMPT_RECORD_RETENTION_SECONDS
                        * slopes.get(Slope.ATTEMPT_HEAP_BYTES)
                        / BYTES_PER_MB);
    }

    private static CapacityRow agentAdmission() {
        return new CapacityRow(
                "agent",
                "admission, % of a core",
                "fair queue and records in memory",
                limit(MAX_CONTROL_CORE_PERCENT),
                "",
                (size, slopes) -> size.requestsPerTarget() * slopes.get(Slope.GATE_MICROS) / MICROS_PER_CORE_PERCENT);
    }

    private static CapacityRow agentControlBytes() {
        return new CapacityRow(
                "agent",
                "all control traffic, bytes/s in working hours",
                "announcement in 1.5 s, changes from two entries, probes, clock readings and reports",
                limit(MAX_CONTROL_BYTES_PER_SECOND),
                "",
                (size, slopes) -> size.entriesPerZone()
                                * CLOCK_READINGS_PER_SECOND
                                * (slopes.get(Slope.CLOCK_BYTES) + PACKET_HEADER_BYTES)
                        + entriesWithOpenAttempts(size)
                                * REPORTS_PER_SECOND
                                * (slopes.get(Slope.REPORT_BYTES) + PACKET_HEADER_BYTES)
                        + 2 / 1.5 * (slopes.get(Slope.ANNOUNCE_BYTES) + PACKET_HEADER_BYTES)
                        + size.changesPerSecond()
                                * ENTRIES_PER_AGENT
                                * (slopes.get(Slope.PATCH_BYTES) + PACKET_HEADER_BYTES)
                        + size.requestsPerTarget()
                                * PROBES_PER_REQUEST
                                * (slopes.get(Slope.PROBE_BYTES)
                                        + slopes.get(Slope.REPORT_BYTES)
                                        + 2 * PACKET_HEADER_BYTES));
    }

    private static double pollsPerSecond(DeploymentSize size) {
        double intervalSeconds = Math.min(MAX_POLL_INTERVAL_SECONDS, size.entriesPerZone() / POLLS_PER_ZONE_SECOND);
        return size.entries() / intervalSeconds;
    }

    private static CapacityRow platformPolls() {
        return new CapacityRow(
                "table service",
                "revision polls, reads/s (limit: 10% of 2,000)",
                "entries of a zone share four reads a second, each waits at most 2.5 s",
                limit(MAX_PLATFORM_READS_PER_SECOND),
                "",
                (size, slopes) -> pollsPerSecond(size));
    }

    private static CapacityRow platformLeases() {
        return new CapacityRow(
                "table service",
                "lease renewals, writes/s (limit: 10% of 300)",
                "one lease a zone, renewed at a third of its term",
                limit(MAX_PLATFORM_WRITES_PER_SECOND),
                "",
                (size, slopes) -> size.zones() / LEASE_RENEWAL_SECONDS);
    }

    private static CapacityRow platformChanges() {
        return new CapacityRow(
                "table service",
                "accepted changes, writes/s in working hours (limit: 10% of 300)",
                "one transaction a change, audit record included",
                limit(MAX_PLATFORM_WRITES_PER_SECOND),
                "",
                (size, slopes) -> size.changesPerSecond());
    }

    private static CapacityRow platformClaims() {
        return new CapacityRow(
                "table service",
                "claims and their ends for keyed requests, writes/s (limit: 10% of 300)",
                "claim and end of each keyed request; grouping inside one entry saves little at 12 requests/s an entry",
                limit(MAX_PLATFORM_WRITES_PER_SECOND),
                "at most 0.3% of requests keyed, or claims grouped over the entries of a zone",
                (size, slopes) -> size.requestsPerSecond() * size.keyedShare() * WRITES_PER_CLAIM);
    }

    private static CapacityRow platformAuditStorage() {
        return new CapacityRow(
                "table service",
                "audit records kept for 400 days, MB",
                "whole rows before and after each change, kept in the table service; nothing removes them",
                OptionalDouble.empty(),
                "",
                (size, slopes) -> size.changesPerDay()
                        * AUDIT_RETENTION_DAYS
                        * slopes.get(Slope.AUDIT_RECORD_BYTES)
                        / BYTES_PER_MB);
    }

    private static CapacityRow platformRecovery() {
        return new CapacityRow(
                "table service",
                "reads/s when it comes back after an hour (limit: 10% of 2,000)",
                "failing polls wait 2.5 s with jitter, so the return brings no more than one poll an entry in that time",
                limit(MAX_PLATFORM_READS_PER_SECOND),
                "",
                (size, slopes) -> size.entries() / MAX_POLL_INTERVAL_SECONDS);
    }

    private static CapacityRow entryBootstrapBytes() {
        return new CapacityRow(
                "entry",
                "whole tables handed to replaced hosts, bytes/s over a day",
                "snapshot pages from peers and agents",
                limit(MAX_CONTROL_BYTES_PER_SECOND),
                "",
                (size, slopes) -> size.replacementsPerDay()
                        / SECONDS_PER_DAY
                        * size.rows()
                        * slopes.get(Slope.SNAPSHOT_ROW_BYTES)
                        / size.entries());
    }

    private static CapacityRow zoneBootstrapBytes() {
        return new CapacityRow(
                "entry",
                "whole tables when a zone starts at once, MB sent by each of its entries",
                "the first entry reads the platform, then each entry serves its share of the zone",
                OptionalDouble.empty(),
                "",
                (size, slopes) -> (size.targetsPerZone() + size.entriesPerZone())
                        / size.entriesPerZone()
                        * size.rows()
                        * slopes.get(Slope.SNAPSHOT_ROW_BYTES)
                        / BYTES_PER_MB);
    }

    private static CapacityRow changePropagation() {
        return new CapacityRow(
                "all",
                "accepted change in force, seconds at the worst (model, not measured at this size)",
                "poll wait of the zone shared by its entries, then three pushes",
                limit(MAX_PROPAGATION_SECONDS),
                "",
                (size, slopes) -> MAX_POLL_INTERVAL_SECONDS * 1.2 / size.entriesPerZone()
                        + PATCH_HOPS * (SECONDS_PER_HOP + slopes.get(Slope.ADOPT_MILLIS) / 1_000));
    }
}
