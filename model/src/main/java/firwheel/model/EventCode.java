package firwheel.model;

import java.util.Locale;

/**
 * Numbered log events. 1xx: process lifecycle; 2xx: requests; 3xx: table; 4xx: platform and leases; 5xx: links and
 * membership; 6xx: expert maps. A test checks that the catalogue in {@code docs/EVENTS.md} matches this list.
 */
public enum EventCode {
    PROCESS_STARTED(101, Severity.INFO, "A process has started and listens."),
    PROCESS_DRAINING(102, Severity.INFO, "A process takes no new work and finishes what runs."),
    PROCESS_STOPPED(103, Severity.INFO, "A process has stopped."),
    DRAIN_CUT(104, Severity.ERROR, "The drain limit passed with requests still running."),
    SETTINGS_CHANGED(105, Severity.INFO, "The settings file has changed; some fields wait for the next start."),
    SETTINGS_REFUSED(106, Severity.ERROR, "The changed settings file is invalid; the settings in force stay."),
    UNCAUGHT_EXCEPTION(107, Severity.ERROR, "An exception was thrown outside of any request, or past what ends one."),
    SIGNAL_RECEIVED(108, Severity.INFO, "A process has received a signal; the event says what it does."),
    REQUEST_REFUSED(201, Severity.INFO, "A request was refused; the code says why."),
    REQUEST_FAILED(202, Severity.WARN, "A request failed after it ran, or its outcome is unknown."),
    FOREIGN_FRAME(203, Severity.WARN, "A frame for no attempt of this process was dropped."),
    REQUEST_REPEATED(204, Severity.INFO, "A request goes to another target; the event says why."),
    REQUEST_COMPLETED(205, Severity.INFO, "The last byte of the whole answer of a target was written to the caller."),
    REQUEST_SUSPECTED(206, Severity.INFO, "A target crashed while it ran a request, which may have caused it."),
    REQUEST_QUARANTINED(207, Severity.WARN, "Targets crashed while they ran a request, which is refused from now on."),
    REQUEST_CLEARED(208, Severity.INFO, "A request that was suspected has been answered."),
    REQUEST_TRIAL(209, Severity.INFO, "A request that is refused is sent once more to find out if targets crash."),
    SUSPICION_EXPIRED(210, Severity.INFO, "A suspected request was not seen for an hour and is forgotten."),
    REQUEST_WAITS(211, Severity.INFO, "A request waits for a group of its service to open."),
    REQUEST_WAITED(212, Severity.INFO, "The wait of a request for a group has ended; the event says why."),
    RESPONSE_LOST(
            213, Severity.INFO, "A target will not deliver the complete response to a request; the event says why."),
    PART_SUSPECTED(214, Severity.INFO, "A target crashed as it began to respond to a request with a part of a prompt."),
    PART_QUARANTINED(
            215, Severity.WARN, "Targets crashed under parts of a prompt; requests with all of them are refused."),
    PART_CLEARED(216, Severity.INFO, "A target responded to a request with a part that was suspected."),
    PART_TRIAL(217, Severity.INFO, "A request with refused parts is sent once to find out if targets crash."),
    PART_EXPIRED(218, Severity.INFO, "A suspected part of a prompt was not seen for an hour and is forgotten."),
    CALLER_LEFT(219, Severity.INFO, "A caller closed its connection before the response to its request was complete."),
    BYTES_GIVEN_UP(220, Severity.WARN, "What kept most bytes gave way, as the process keeps too many for others."),
    RESPONSE_CUT(221, Severity.WARN, "A response was not written to its end; its connection is closed."),
    STEP_FAILED(222, Severity.ERROR, "A step of a request threw an exception; the request was ended at once."),
    CRASH_REFUTED(
            223,
            Severity.INFO,
            "A target has outlived a crash that it was suspected of; what was held against requests is dropped."),
    TABLE_IN_FORCE(301, Severity.INFO, "A table revision is in force on this host."),
    TABLE_REJECTED(302, Severity.ERROR, "Rows in the store fail the checks; the last good revision stays in force."),
    TABLE_OLDER(303, Severity.WARN, "An older table revision was offered and ignored."),
    TABLE_FORKED(304, Severity.ERROR, "Two hosts hold different tables of the same revision."),
    PLATFORM_DOWN(401, Severity.WARN, "The platform does not answer."),
    PLATFORM_BACK(402, Severity.INFO, "The platform answers again."),
    LEASE_ACQUIRED(403, Severity.INFO, "This host holds the controller lease of its zone."),
    LEASE_RELEASED(404, Severity.INFO, "This host no longer holds the controller lease."),
    TARGET_CHANGED(405, Severity.INFO, "A target registered or changed its registration."),
    TARGET_GONE(406, Severity.INFO, "A target is no longer registered and gets no new work."),
    TARGET_UNREADABLE(407, Severity.WARN, "A registration cannot be read and names no target to use."),
    STORE_ERA(408, Severity.WARN, "The store states another era than before, as after its return from an older copy."),
    TARGET_LEAVING(409, Severity.INFO, "A target said in a response that it leaves."),
    TARGET_LIMIT(410, Severity.INFO, "A target stated another request limit than before; negative means none."),
    TARGET_DECLINED(411, Severity.INFO, "A target refused and wants no requests from this entry for a time."),
    GROUP_STATE(412, Severity.INFO, "A model group was reported in another state, or to have lost a rank."),
    STORE_READER(413, Severity.INFO, "An entry starts or stops polling the store; the event says why."),
    TARGET_CLAIM(414, Severity.INFO, "A target registered at the address of an earlier one, or its claim has ended."),
    FILL_LIMIT(
            415, Severity.INFO, "An entry places more or fewer requests at each rank, by the pauses in their streams."),
    REMOVAL_DEFERRED(
            416, Severity.INFO, "A registration is gone after an outage; its target counts until it could be renewed."),
    EXTRA_RESPONSE(417, Severity.INFO, "A target wrote a response that belongs to no request in progress."),
    MALFORMED_RESPONSE(418, Severity.WARN, "A target wrote bytes that are not one response; the event says why."),
    LINK_REFUSED(501, Severity.WARN, "A peer failed authentication or sent a bad frame; its link was closed."),
    LINK_UP(502, Severity.INFO, "A link to a peer is up."),
    LINK_DOWN(503, Severity.INFO, "A link to a peer is down."),
    MAP_COMMITTED(601, Severity.INFO, "A group switched to a new expert map."),
    MAP_ABORTED(602, Severity.WARN, "A proposed expert map was aborted."),
    PLAN_SKIPPED(603, Severity.INFO, "A planning round changed nothing; the reason is in the event."),
    MAP_PLANNED(604, Severity.INFO, "A better expert map was planned and is rolled out."),
    GROUP_READ(605, Severity.INFO, "A controller read the ranks of its group; the outcome says what follows."),
    MAPS_DIFFER(606, Severity.ERROR, "Ranks of a group use different expert maps; the group is held and repaired."),
    HOLD_LOST(
            607,
            Severity.ERROR,
            "The hold of a group ended while some of its ranks were armed; they are held and disarmed.");

    /** Severity of an event. The names are those of the SLF4J log levels. */
    public enum Severity {
        INFO,
        WARN,
        ERROR
    }

    private final int number;
    private final Severity severity;
    private final String summary;

    EventCode(int number, Severity severity, String summary) {
        this.number = number;
        this.severity = severity;
        this.summary = summary;
    }

    /** Returns the identifier of the event in logs, such as {@code EV-101}. */
    public String label() {
        return String.format(Locale.ROOT, "EV-%03d", number);
    }

    public Severity severity() {
        return severity;
    }

    /** Returns a one-sentence description of the event. */
    public String summary() {
        return summary;
    }
}
