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

/** A link to one agent, shared by all attempts of this entry at that agent. Used on the entry's event loop only. */
final class AgentLink {
    /** Receives what concerns one attempt. */
    interface Listener {
        /** Takes a message about the attempt. */
        void onMessage(AttemptMessage message);

        /** Called once when the link is lost while the attempt is open. */
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

    /** Returns the incarnation of the agent at the other end. */
    long agentIncarnation() {
        return link.peer().incarnation();
    }

    /** Returns the agent's clock reading that is reached when the own clock shows {@code ownMillis}. */
    long toAgentMillis(long localMillis) {
        return clock.toAgentMillis(localMillis);
    }

    boolean isClosed() {
        return link.isClosed();
    }

    /** Closes the link where the agent has been silent for longer than {@code millis}. */
    void closeIfSilentFor(long millis) {
        if (time.monotonicMillis() - lastReceivedMillis > millis) {
            link.close();
        }
    }

    /** Passes messages about an attempt to {@code listener} from now on. */
    void register(AttemptId attempt, Listener listener) {
        listeners.put(attempt, listener);
    }

    /** Tells the agent which table revision is in force here, before a dispatch that rests on it. */
    void announceTable() {
        if (tableSynchronizer != null) {
            tableSynchronizer.announceRevision(link);
        }
    }

    /** Sends a message about an attempt. */
    void send(Message message) {
        link.send(message);
    }

    /** Forgets an attempt; later messages about it are dropped and counted. */
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
        } else if (message instanceof LoadMessage.Clock clockMessage) {
            clock.observe(clockMessage.clockMillis(), lastReceivedMillis);
            ready.complete(this);
        } else if (tableSynchronizer != null) {
            tableSynchronizer.handle(link, message);
        }
    }

    private void onClosed() {
        ready.completeExceptionally(new IllegalStateException("closed before the agent's clock was known"));
        if (tableSynchronizer != null) {
            tableSynchronizer.removeLink(link);
        }
        List<Listener> openListeners = List.copyOf(listeners.values());
        listeners.clear();
        openListeners.forEach(Listener::onLinkLost);
    }
}
