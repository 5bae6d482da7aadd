package firwheel.mesh;

import firwheel.model.TimeSource;
import firwheel.wire.MeshMessage.Member;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * Tracks which processes of the deployment are alive. A process is alive as long as its heartbeat number increases,
 * whether reported by itself or by other processes. Performs no I/O; not thread-safe.
 */
public final class Membership {
    private static final Duration ALIVE_TIMEOUT =
            Duration.ofSeconds(8); // eight heartbeats; gossip takes about five to spread
    private static final Duration HEARD_TIMEOUT = Duration.ofSeconds(3); // three heartbeats
    private static final Duration RETENTION =
            Duration.ofSeconds(60); // a host that was partitioned off is contacted again within this time

    private final TimeSource time;
    private final Random random;
    private final String selfIp;
    private final Map<String, Observation> observations = new HashMap<>();
    private long reportedOwnIncarnation;

    private record Observation(Member member, long updatedNanos) {}

    /** Creates an empty membership, which never includes {@code selfIp}. */
    public Membership(TimeSource time, Random random, String selfIp) {
        this.time = time;
        this.random = random;
        this.selfIp = selfIp;
    }

    /** Merges a report about a process; reports that are not newer than the known state are ignored. */
    public void merge(Member member) {
        if (member.ip().equals(selfIp)) {
            reportedOwnIncarnation = Math.max(reportedOwnIncarnation, member.incarnation());
            return;
        }
        Observation observation = observations.get(member.ip());
        if (observation == null || isNewer(member, observation.member())) {
            observations.put(member.ip(), new Observation(member, time.monotonicNanos()));
        }
    }

    /**
     * Returns the highest incarnation of this host's process that others have reported, or 0. Incarnations are start
     * times, so that of an earlier process is higher than this one's if the clock was set back in between.
     */
    long reportedOwnIncarnation() {
        return reportedOwnIncarnation;
    }

    /** Returns the processes of a role that are alive. */
    public List<Member> alive(String role) {
        return alive().stream().filter(member -> member.role().equals(role)).toList();
    }

    /**
     * Returns the processes of a role whose heartbeats arrive. Processes that this one is cut off from are missing much
     * earlier than from {@link #alive(String)}; of several hundred processes, some that are alive are missing as well.
     */
    public List<Member> heard(String role) {
        return updatedWithin(HEARD_TIMEOUT).stream()
                .filter(member -> member.role().equals(role))
                .toList();
    }

    /**
     * Returns the processes of a role that were alive within the retention time. They include live processes whose
     * heartbeats arrive late, as they do when there are many processes, and some that have ended.
     */
    public List<Member> known(String role) {
        return updatedWithin(RETENTION).stream()
                .filter(member -> member.role().equals(role))
                .toList();
    }

    /** Returns all processes that are alive, except this one. */
    public List<Member> alive() {
        return updatedWithin(ALIVE_TIMEOUT);
    }

    /** Returns up to {@code count} randomly selected processes that are alive. */
    public List<Member> sample(int count) {
        return randomSubset(alive(), count);
    }

    /** Returns up to {@code count} randomly selected processes of a role that are alive. */
    public List<Member> sample(String role, int count) {
        return randomSubset(alive(role), count);
    }

    /** Returns one randomly selected process of a role that is alive for each availability zone that has one. */
    public List<Member> sampleOnePerZone(String role) {
        Map<String, List<Member>> byZone =
                alive(role).stream().collect(Collectors.groupingBy(Member::availabilityZone));
        return byZone.values().stream()
                .map(members -> members.get(random.nextInt(members.size())))
                .toList();
    }

    /** Returns the known processes of a role in an availability zone. */
    public List<Member> known(String role, String availabilityZone) {
        return known(role).stream()
                .filter(member -> member.availabilityZone().equals(availabilityZone))
                .toList();
    }

    /**
     * Returns up to {@code count} randomly selected processes to send heartbeats to, including those that may be
     * partitioned off.
     */
    public List<Member> heartbeatPeers(int count) {
        observations.values().removeIf(observation -> ageNanos(observation) > RETENTION.toNanos());
        return randomSubset(updatedWithin(RETENTION), count);
    }

    private List<Member> updatedWithin(Duration maxAge) {
        List<Member> result = new ArrayList<>();
        for (Observation observation : observations.values()) {
            if (ageNanos(observation) <= maxAge.toNanos()) {
                result.add(observation.member());
            }
        }
        return result;
    }

    private List<Member> randomSubset(Collection<Member> candidates, int count) {
        List<Member> shuffled = new ArrayList<>(candidates);
        Collections.shuffle(shuffled, random);
        return List.copyOf(shuffled.subList(0, Math.min(count, shuffled.size())));
    }

    private long ageNanos(Observation observation) {
        return time.monotonicNanos() - observation.updatedNanos();
    }

    private static boolean isNewer(Member reported, Member current) {
        return reported.incarnation() > current.incarnation()
                || (reported.incarnation() == current.incarnation()
                        && reported.heartbeatSequence() > current.heartbeatSequence());
    }
}
