package firwheel.entry;

import firwheel.model.AttemptId;
import firwheel.peers.TableLinks;
import firwheel.wire.AttemptMessage;
import firwheel.wire.Link;
import firwheel.wire.LoadMessage;
import firwheel.wire.Message;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
    private final Map<AttemptId, Listener> listeners = new HashMap<>();
    private final Consumer<LoadMessage.Report> onReport;
    private final Runnable onForeign;
    private final @Nullable TableLinks tables;

    AgentLink(Link link, Consumer<LoadMessage.Report> onReport, Runnable onForeign, @Nullable TableLinks tables) {
        this.link = link;
        this.onReport = onReport;
        this.onForeign = onForeign;
        this.tables = tables;
        link.onMessage(this::onMessage);
        if (tables != null) {
            tables.attach(link);
        }
        link.onClose(this::onClosed);
    }

    /** Returns the incarnation of the agent at the other end. */
    long agentIncarnation() {
        return link.peer().incarnation();
    }

    boolean isClosed() {
        return link.isClosed();
    }

    /** Registers the attempt and sends its dispatch. */
    void dispatch(AttemptMessage.Dispatch dispatch, Listener listener) {
        listeners.put(dispatch.attempt(), listener);
        if (tables != null) {
            tables.announce(link);
        }
        link.send(dispatch);
    }

    /** Sends a message about an attempt. */
    void send(Message message) {
        link.send(message);
    }

    /** Forgets an attempt; later messages about it are dropped and counted. */
    void forget(AttemptId attempt) {
        listeners.remove(attempt);
    }

    private void onMessage(Message message) {
        if (message instanceof AttemptMessage attemptMessage) {
            Listener listener = listeners.get(attemptMessage.attempt());
            if (listener == null) {
                onForeign.run();
            } else {
                listener.onMessage(attemptMessage);
            }
        } else if (message instanceof LoadMessage.Report report) {
            onReport.accept(report);
        } else if (tables != null) {
            tables.handle(link, message);
        }
    }

    private void onClosed() {
        if (tables != null) {
            tables.detach(link);
        }
        List<Listener> open = List.copyOf(listeners.values());
        listeners.clear();
        open.forEach(Listener::onLinkLost);
    }
}
