package firwheel.entry;

import firwheel.admission.AgentClockEstimate;
import firwheel.model.AttemptId;
import firwheel.model.TimeSource;
import firwheel.peers.TableSynchronizer;
import firwheel.wire.AttemptMessage;
import firwheel.wire.Link;
import firwheel.wire.LoadMessage;
import firwheel.wire.Message;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** A link to one agent, shared by all attempts that this entry sends there. Used on the entry's event loop only. */
final class AgentLink {
    /** Receives the messages about one attempt. */
    interface Listener {
        /** Handles a message about the attempt. */
        void onMessage(AttemptMessage message);

        /** Called once if the link closes while the listener is registered. */
        void onLinkLost();
    }

    private final Link link;
    private final TimeSource time;
    private final AgentClockEstimate clock = new AgentClockEstimate();
    private final CompletableFuture<AgentLink> ready = new CompletableFuture<>();
    private final Map<AttemptId, Listener> listeners = new HashMap<>();
    private final Consumer<LoadMessage.Report> onReport;
    private final Runnable onUnknownAttempt;
    private final @Nullable TableSynchronizer tableSynchronizer;
    private long lastReceivedMillis;

    AgentLink(
            Link link,
            TimeSource time,
            Consumer<LoadMessage.Report> onReport,
            Runnable onUnknownAttempt,
            @Nullable TableSynchronizer tableSynchronizer) {
        this.link = link;
        this.time = time;
        this.onReport = onReport;
        this.onUnknownAttempt = onUnknownAttempt;
        lastReceivedMillis = time.monotonicMillis();
        this.tableSynchronizer = tableSynchronizer;
        link.onMessage(this::onMessage);
        if (tableSynchronizer != null) {
            tableSynchronizer.addLink(link);
        }
        link.onClose(this::onClosed);
    }

    /** Returns a future that completes with this link once the agent's clock is known. */
    CompletableFuture<AgentLink> ready() {
        return ready;
    }

    /** Returns the incarnation of the agent process. */
    long agentIncarnation() {
        return link.peer().incarnation();
    }

    /** Converts a reading of the local clock to the estimated reading of the agent's clock. */
    long toAgentMillis(long localMillis) {
        return clock.toAgentMillis(localMillis);
    }

    boolean isClosed() {
        return link.isClosed();
    }

    /** Closes the link if no message has arrived for longer than {@code millis}. */
    void closeIfSilentFor(long millis) {
        if (time.monotonicMillis() - lastReceivedMillis > millis) {
            link.close();
        }
    }

    /** Registers the listener for messages about an attempt. */
    void register(AttemptId attempt, Listener listener) {
        listeners.put(attempt, listener);
    }

    /** Announces the active table revision to the agent. Called before a dispatch that was routed by that revision. */
    void announceTable() {
        if (tableSynchronizer != null) {
            tableSynchronizer.announceRevision(link);
        }
    }

    void send(Message message) {
        link.send(message);
    }

    /** Removes the listener of an attempt; later messages about the attempt are dropped and counted. */
    void unregister(AttemptId attempt) {
        listeners.remove(attempt);
    }

    private void onMessage(Message message) {
        lastReceivedMillis = time.monotonicMillis();
        if (message instanceof AttemptMessage attemptMessage) {
            Listener listener = listeners.get(attemptMessage.attempt());
            if (listener == null) {
                onUnknownAttempt.run();
            } else {
                listener.onMessage(attemptMessage);
            }
        } else if (message instanceof LoadMessage.Report report) {
            onReport.accept(report);
        } else if (message instanceof LoadMessage.ClockReading clockMessage) {
            clock.observe(clockMessage.clockMillis(), lastReceivedMillis);
            ready.complete(this);
        } else if (tableSynchronizer != null) {
            tableSynchronizer.handle(link, message);
        }
    }

    private void onClosed() {
        ready.completeExceptionally(new IllegalStateException("the link closed before the agent sent its clock"));
        if (tableSynchronizer != null) {
            tableSynchronizer.removeLink(link);
        }
        List<Listener> openListeners = List.copyOf(listeners.values());
        listeners.clear();
        openListeners.forEach(Listener::onLinkLost);
    }
}
