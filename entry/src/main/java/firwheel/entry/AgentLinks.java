package firwheel.entry;

import firwheel.model.RankAddress;
import firwheel.model.TimeSource;
import firwheel.peers.TableSynchronizer;
import firwheel.wire.LinkEndpoint;
import firwheel.wire.LoadMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Cache of links to agents, which are opened on first use. Used on the entry's event loop only. */
final class AgentLinks {
    private static final long MAX_SILENCE_MILLIS = 4_000;

    private final LinkEndpoint endpoint;
    private final TimeSource time;
    private final Consumer<LoadMessage.Report> onReport;
    private final Runnable onUnknownAttempt;
    private @Nullable TableSynchronizer tableSynchronizer;
    private final Map<String, CompletableFuture<AgentLink>> links = new HashMap<>();

    AgentLinks(
            LinkEndpoint endpoint, TimeSource time, Consumer<LoadMessage.Report> onReport, Runnable onUnknownAttempt) {
        this.endpoint = endpoint;
        this.time = time;
        this.onReport = onReport;
        this.onUnknownAttempt = onUnknownAttempt;
    }

    LinkEndpoint endpoint() {
        return endpoint;
    }

    /** Sets the synchronizer that sends the table over the links. Must be called before the first link is opened. */
    void setTableSynchronizer(TableSynchronizer synchronizer) {
        tableSynchronizer = synchronizer;
    }

    /** Returns the link to the agent at {@code address}; the future fails if the agent is unreachable. */
    CompletableFuture<AgentLink> link(RankAddress address) {
        CompletableFuture<AgentLink> existing = links.get(address.endpoint());
        if (existing != null && !isUnusable(existing)) {
            return existing;
        }
        CompletableFuture<AgentLink> newLink = endpoint.connect(address.ip(), address.port())
                .thenCompose(link -> new AgentLink(link, time, onReport, onUnknownAttempt, tableSynchronizer).ready());
        links.put(address.endpoint(), newLink);
        return newLink;
    }

    /** Closes links on which no message has arrived for {@link #MAX_SILENCE_MILLIS}. Called about once per second. */
    void closeSilentLinks() {
        for (CompletableFuture<AgentLink> link : links.values()) {
            if (link.isDone() && !isUnusable(link)) {
                link.join().closeIfSilentFor(MAX_SILENCE_MILLIS);
            }
        }
        links.values().removeIf(AgentLinks::isUnusable);
    }

    private static boolean isUnusable(CompletableFuture<AgentLink> link) {
        return link.isCompletedExceptionally() || (link.isDone() && link.join().isClosed());
    }
}
