package firwheel.entry;

import firwheel.model.RankAddress;
import firwheel.wire.LinkEndpoint;
import firwheel.wire.LoadMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Links to agents, opened on first use and kept. Used on the entry's event loop only. */
final class AgentLinks {
    private final LinkEndpoint endpoint;
    private final Consumer<LoadMessage.Report> onReport;
    private final Runnable onForeign;
    private final Map<String, CompletableFuture<AgentLink>> links = new HashMap<>();

    AgentLinks(LinkEndpoint endpoint, Consumer<LoadMessage.Report> onReport, Runnable onForeign) {
        this.endpoint = endpoint;
        this.onReport = onReport;
        this.onForeign = onForeign;
    }

    /** Returns the link to the agent at {@code address}; fails when it cannot be reached. */
    CompletableFuture<AgentLink> link(RankAddress address) {
        CompletableFuture<AgentLink> present = links.get(address.endpoint());
        if (present != null && !isGone(present)) {
            return present;
        }
        CompletableFuture<AgentLink> opened = endpoint.connect(address.ip(), address.port())
                .thenApply(link -> new AgentLink(link, onReport, onForeign));
        links.put(address.endpoint(), opened);
        return opened;
    }

    private static boolean isGone(CompletableFuture<AgentLink> link) {
        return link.isCompletedExceptionally() || (link.isDone() && link.join().isClosed());
    }
}
