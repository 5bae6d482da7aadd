package firwheel.peers;

import firwheel.model.TableSnapshot;
import firwheel.store.HostList.HostEntry;
import firwheel.table.Peer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import net.openhft.hashing.LongHashFunction;

/**
 * Selects the processes that a process connects to: the seeds from its settings and, for an entry, also the entries of
 * its zone, one entry of each other zone, and the agents of its zone. Of two listed entries in the same zone, the one
 * with the smaller address connects, so that only one link is opened.
 */
final class DialPolicy {
    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final String ENTRY = "entry";

    private final Peer self;
    private final int linkPort;
    private final List<HostEntry> seeds;
    private List<HostEntry> entries = List.of();
    private List<HostEntry> agents = List.of();
    private Set<String> addressesToDial = Set.of();

    DialPolicy(Peer self, int linkPort, List<String> seedAddresses) {
        this.self = self;
        this.linkPort = linkPort;
        seeds = seedAddresses.stream()
                .filter(address -> !address.equals(self.address()))
                .map(address -> new HostEntry(address, "", ENTRY, false))
                .toList();
        recomputeAddresses();
    }

    void onHostList(List<HostEntry> hosts) {
        entries = hosts.stream()
                .filter(host -> host.role().equals(ENTRY))
                .map(this::withPort)
                .filter(host -> !host.ip().equals(self.address()))
                .toList();
        recomputeAddresses();
    }

    void onTable(TableSnapshot table) {
        agents = table.rows().stream()
                .filter(row -> self.role() == Peer.Role.ENTRY)
                .filter(row -> row.availabilityZone().equals(self.availabilityZone()))
                .flatMap(row -> row.hosts().stream()
                        .map(host -> new HostEntry(host.endpoint(), row.availabilityZone(), "agent", false)))
                .toList();
        recomputeAddresses();
    }

    /** Returns all hosts named by the seeds, the host list and the table. */
    List<HostEntry> knownHosts() {
        List<HostEntry> hosts = new ArrayList<>(seeds);
        hosts.addAll(entries);
        hosts.addAll(agents);
        return hosts;
    }

    /** Returns whether this entry should connect to {@code address}. */
    boolean shouldDial(String address) {
        return addressesToDial.contains(address);
    }

    private void recomputeAddresses() {
        Set<String> addresses = new HashSet<>();
        seeds.forEach(seed -> addresses.add(seed.ip()));
        agents.forEach(agent -> addresses.add(agent.ip()));
        entries.stream()
                .filter(this::inOwnZone)
                .filter(entry -> self.address().compareTo(entry.ip()) < 0)
                .forEach(entry -> addresses.add(entry.ip()));
        Map<String, List<HostEntry>> otherZones = entries.stream()
                .filter(entry -> !inOwnZone(entry))
                .collect(Collectors.groupingBy(HostEntry::availabilityZone));
        otherZones.values().forEach(zone -> zone.stream()
                .min(Comparator.comparingLong(entry -> HASH.hashChars(self.address() + "|" + entry.ip())))
                .ifPresent(entry -> addresses.add(entry.ip())));
        addressesToDial = addresses;
    }

    private boolean inOwnZone(HostEntry entry) {
        return entry.availabilityZone().equals(self.availabilityZone());
    }

    /** Returns {@code host} with its link address, {@code ip:port}, in place of its IP address. */
    private HostEntry withPort(HostEntry host) {
        boolean hasPort = host.ip().matches("[0-9.]+:[0-9]+");
        String address = hasPort ? host.ip() : host.ip() + ":" + linkPort;
        return new HostEntry(address, host.availabilityZone(), host.role(), host.leaving());
    }
}
