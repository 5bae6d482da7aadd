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

/**
 * Which processes of the deployment are alive. A process counts as alive while its beat number rises, heard from itself
 * or through others. No I/O; not thread-safe.
 */
public final class Membership {
    private static final Duration ALIVE_FOR = Duration.ofSeconds(8); // eight beats; gossip takes about five to spread
    private static final Duration KNOWN_FOR = Duration.ofSeconds(60); // a host that was cut off is greeted again

    private final TimeSource time;
    private final Random random;
    private final String selfIp;
    private final Map<String, Known> members = new HashMap<>();

    private record Known(Member member, long risenNanos) {}

    /** Creates a membership that knows nobody; {@code selfIp} is left out of it. */
    public Membership(TimeSource time, Random random, String selfIp) {
        this.time = time;
        this.random = random;
        this.selfIp = selfIp;
    }

    /** Takes what someone said of a process; older news than known change nothing. */
    public void merge(Member member) {
        if (member.ip().equals(selfIp)) {
            return;
        }
        Known known = members.get(member.ip());
        if (known == null || isNewer(member, known.member())) {
            members.put(member.ip(), new Known(member, time.monotonicNanos()));
        }
    }

    /** Returns the living processes of a role. */
    public List<Member> alive(String role) {
        return alive().stream().filter(member -> member.role().equals(role)).toList();
    }

    /** Returns all living processes but this one. */
    public List<Member> alive() {
        return heardWithin(ALIVE_FOR);
    }

    /** Returns up to {@code count} living processes drawn at random. */
    public List<Member> sample(int count) {
        return draw(alive(), count);
    }

    /** Returns up to {@code count} living processes of a role, drawn at random. */
    public List<Member> sample(String role, int count) {
        return draw(alive(role), count);
    }

    /** Returns up to {@code count} processes to beat to, those that may be cut off included. */
    public List<Member> beatTargets(int count) {
        members.values().removeIf(known -> ageNanos(known) > KNOWN_FOR.toNanos());
        return draw(heardWithin(KNOWN_FOR), count);
    }

    private List<Member> heardWithin(Duration age) {
        List<Member> result = new ArrayList<>();
        for (Known known : members.values()) {
            if (ageNanos(known) <= age.toNanos()) {
                result.add(known.member());
            }
        }
        return result;
    }

    private List<Member> draw(Collection<Member> from, int count) {
        List<Member> shuffled = new ArrayList<>(from);
        Collections.shuffle(shuffled, random);
        return List.copyOf(shuffled.subList(0, Math.min(count, shuffled.size())));
    }

    private long ageNanos(Known known) {
        return time.monotonicNanos() - known.risenNanos();
    }

    private static boolean isNewer(Member fresh, Member known) {
        return fresh.incarnation() > known.incarnation()
                || (fresh.incarnation() == known.incarnation() && fresh.beat() > known.beat());
    }
}
