package firwheel.proxy.balance;

import firwheel.model.EventCode;
import firwheel.model.Events;
import firwheel.model.TimeSource;
import firwheel.proxy.targets.GroupMembership;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Knows which model groups run steps. A group that lost a rank opens again in a later epoch, so the statement about the
 * latest epoch holds. About the same epoch, a response that names a lost rank comes first, then a recent report of the
 * group's controller, then the registration, which is updated with a delay.
 */
public final class GroupStates {
    private static final Duration MAX_REPORT_AGE = Duration.ofMillis(1_500); // six missed reports
    // A report that was read before the rank was lost arrives earlier than this.
    private static final Duration MAX_REPORT_DELAY = Duration.ofSeconds(1);
    private static final Duration MAX_READING_INTERVAL = Duration.ofMillis(500); // of a controller
    private static final Duration DEFAULT_FORM_TIME = Duration.ofSeconds(1); // until one was observed
    private static final double FORM_TIME_MARGIN = 1.5; // over the latest one
    private static final Logger logger = LoggerFactory.getLogger(GroupStates.class);

    private final TimeSource time;
    private final Map<String, Report> reports = new HashMap<>();
    private final Map<String, RankLoss> losses = new HashMap<>();
    private final Map<String, Long> formingSinceNanos = new HashMap<>();
    private Duration formTime = DEFAULT_FORM_TIME;

    /**
     * State of a group as read by its controller.
     *
     * @param group name of the group
     * @param epoch epoch of the group, incremented each time it is formed
     * @param open whether all ranks that were read run steps
     * @param missingRanks number of ranks that could not be read
     */
    public record Reading(String group, long epoch, boolean open, int missingRanks) {
        /** Returns whether all ranks are there and the group is about to open. */
        boolean isForming() {
            return !open && missingRanks == 0;
        }
    }

    private record Report(Reading reading, long receivedNanos) {}

    private record RankLoss(long epoch, long statedNanos) {}

    /** Creates states of groups of which nothing is known. */
    public GroupStates(TimeSource time) {
        this.time = time;
    }

    /** Records a report of a group's controller. */
    public void onReport(Reading reading) {
        long now = time.monotonicNanos();
        Report previous = reports.put(reading.group(), new Report(reading, now));
        if (reading.isForming()) {
            formingSinceNanos.putIfAbsent(reading.group(), now);
        } else {
            Long since = formingSinceNanos.remove(reading.group());
            if (since != null && reading.open()) {
                formTime = Duration.ofNanos(now - since);
            }
        }
        if (previous == null || !previous.reading().equals(reading)) {
            log(reading.group(), reading.epoch(), reading.open(), reading.missingRanks(), "report", "none");
        }
    }

    /**
     * Records that {@code witness} refused a request because of the target {@code faulty}, given by its address or
     * identifier. If that is another one, the group has lost it as a rank.
     */
    public void onRefused(Target witness, String faulty) {
        GroupMembership group = witness.group();
        boolean faultsItself =
                faulty.equals(witness.ip() + ":" + witness.port()) || faulty.equals(witness.instanceId());
        if (group == null || faultsItself) {
            return;
        }
        RankLoss loss = new RankLoss(latestEpoch(group), time.monotonicNanos());
        RankLoss previous = losses.put(group.name(), loss);
        if (previous == null || previous.epoch() < loss.epoch()) {
            log(group.name(), loss.epoch(), false, 1, witness.instanceId(), faulty);
        }
    }

    /** Returns the time in which a group is expected to open, or null if it is not known to be forming. */
    @Nullable
    Duration timeToOpen(GroupMembership registered) {
        Long since = formingSinceNanos.get(registered.name());
        if (since == null || isOpen(registered) || recentReport(registered.name()) == null) {
            return null;
        }
        Duration elapsed = Duration.ofNanos(time.monotonicNanos() - since);
        Duration left = Duration.ofMillis((long) (formTime.toMillis() * FORM_TIME_MARGIN))
                .plus(MAX_READING_INTERVAL)
                .minus(elapsed);
        return left.isNegative() ? null : left;
    }

    /** Returns whether the group of a rank that is registered as {@code registered} runs steps. */
    boolean isOpen(GroupMembership registered) {
        Report report = recentReport(registered.name());
        if (isLost(registered, report)) {
            return false;
        }
        if (report != null && report.reading().epoch() >= registered.epoch()) {
            return report.reading().open();
        }
        return registered.open();
    }

    private boolean isLost(GroupMembership registered, @Nullable Report report) {
        RankLoss loss = losses.get(registered.name());
        if (loss == null || loss.epoch() < latestEpoch(registered)) {
            return false;
        }
        boolean reportedSince = report != null
                && report.reading().open()
                && report.receivedNanos() - loss.statedNanos() > MAX_REPORT_DELAY.toNanos();
        return !reportedSince && isRecent(loss);
    }

    private boolean isRecent(RankLoss loss) {
        return time.monotonicNanos() - loss.statedNanos()
                <= MAX_REPORT_AGE.plus(MAX_REPORT_DELAY).toNanos();
    }

    private long latestEpoch(GroupMembership registered) {
        Report report = recentReport(registered.name());
        return report == null
                ? registered.epoch()
                : Math.max(registered.epoch(), report.reading().epoch());
    }

    private @Nullable Report recentReport(String group) {
        Report report = reports.get(group);
        boolean recent = report != null && time.monotonicNanos() - report.receivedNanos() <= MAX_REPORT_AGE.toNanos();
        return recent ? report : null;
    }

    private static void log(String group, long epoch, boolean open, int missingRanks, String source, String lostRank) {
        Events.log(
                logger,
                EventCode.GROUP_STATE,
                "group",
                group,
                "epoch",
                epoch,
                "open",
                open,
                "missingRanks",
                missingRanks,
                "source",
                source,
                "lostRank",
                lostRank);
    }
}
