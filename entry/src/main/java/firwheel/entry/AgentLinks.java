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

/** Links to agents, opened on first use and kept. Used on the entry's event loop only. */
final class AgentLinks {
    private static final long MAX_SILENCE_MILLIS = 4_000;

    private final LinkEndpoint endpoint;
    private final TimeSource time;
    private final Consumer<LoadMessage.Report> onReport;
    private final Runnable onForeign;
    private @Nullable TableSynchronizer tables;
    private final Map<String, CompletableFuture<AgentLink>> links = new HashMap<>();

    AgentLinks(LinkEndpoint endpoint, TimeSource time, Consumer<LoadMessage.Report> onReport, Runnable onForeign) {
        this.endpoint = endpoint;
        this.time = time;
        this.onReport = onReport;
        this.onForeign = onForeign;
    }

    LinkEndpoint endpoint() {
        return endpoint;
    }

    /** Sets what keeps the table up to date over the links; call it before the first link. */
    void carryTables(TableSynchronizer tableLinks) {
        tables = tableLinks;
    }

    /** Returns the link to the agent at {@code address}; fails when it cannot be reached. */
    CompletableFuture<AgentLink> link(RankAddress address) {
        CompletableFuture<AgentLink> present = links.get(address.endpoint());
        if (present != null && !isGone(present)) {
            return present;
        }
        CompletableFuture<AgentLink> opened = endpoint.connect(address.ip(), address.port())
                .thenCompose(link -> new AgentLink(link, time, onReport, onForeign, tables).ready());
        links.put(address.endpoint(), opened);
        return opened;
    }

    /** Closes links whose agent is silent. To be called about once a second. */
    void closeSilent() {
        for (CompletableFuture<AgentLink> link : links.values()) {
            if (link.isDone() && !isGone(link)) {
                link.join().closeIfSilentFor(MAX_SILENCE_MILLIS);
            }
        }
        links.values().removeIf(AgentLinks::isGone);
    }

    private static boolean isGone(CompletableFuture<AgentLink> link) {
        return link.isCompletedExceptionally() || (link.isDone() && link.join().isClosed());
    }
}
