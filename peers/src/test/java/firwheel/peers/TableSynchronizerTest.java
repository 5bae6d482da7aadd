package firwheel.peers;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.RankAddress;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import firwheel.model.TimeSource;
import firwheel.standin.InMemoryTableService;
import firwheel.store.Delay;
import firwheel.store.HostList.HostEntry;
import firwheel.table.RevisionPatch;
import firwheel.table.RowPatch;
import firwheel.table.TableColumn;
import firwheel.table.TableCommitter;
import firwheel.table.TableMessage;
import firwheel.table.TableReader;
import firwheel.wire.LinkEndpoint;
import firwheel.wire.LinkIdentity;
import firwheel.wire.LinkSecurity;
import firwheel.wire.SharedKey;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class TableSynchronizerTest {
    private static final int LINK_PORT = 7_411;

    private final Vertx vertx = Vertx.vertx();
    private final InMemoryTableService store = new InMemoryTableService();
    private final List<HostEntry> listed = new ArrayList<>();
    private final List<TableSynchronizer> synchronizers = new ArrayList<>();

    @AfterEach
    void stop() {
        synchronizers.forEach(TableSynchronizer::close);
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static TargetRow row(double weight) {
        List<RankAddress> hosts = List.of(new RankAddress(0, "127.0.41.9", LINK_PORT));
        return new TargetRow(
                "a",
                TargetKind.MODEL,
                List.of("m"),
                "z",
                RowState.SERVING,
                weight,
                1,
                0,
                1,
                true,
                hosts,
                false,
                false,
                1,
                1);
    }

    private TableSynchronizer start(String ip, String role) {
        Context context = vertx.getOrCreateContext();
        CompletableFuture<TableSynchronizer> started = new CompletableFuture<>();
        context.runOnContext(ignored -> {
            LinkIdentity self = new LinkIdentity(ip + ":" + LINK_PORT, "z", role, ip.hashCode());
            LinkEndpoint endpoint = new LinkEndpoint(vertx, new LinkSecurity(new SharedKey("k"), null), self);
            TableSynchronizer.Sources sources = role.equals("agent")
                    ? TableSynchronizer.Sources.forAgent(List.of())
                    : new TableSynchronizer.Sources(
                            store, () -> CompletableFuture.completedFuture(List.copyOf(listed)), LINK_PORT, List.of());
            TableSynchronizer[] synchronizer = new TableSynchronizer[1];
            synchronizer[0] = new TableSynchronizer(
                    context,
                    endpoint,
                    ControlThread.newExecutor(),
                    sources,
                    (agentIp, port) ->
                            endpoint.connect(agentIp, port).thenAccept(link -> synchronizer[0].addTableLink(link)),
                    new Random(1));
            var unused = endpoint.listen(ip, LINK_PORT, link -> synchronizer[0].addTableLink(link))
                    .thenAccept(server -> {
                        synchronizer[0].start();
                        started.complete(synchronizer[0]);
                    });
        });
        TableSynchronizer synchronizer = started.orTimeout(10, TimeUnit.SECONDS).join();
        synchronizers.add(synchronizer);
        return synchronizer;
    }

    private long apply(double weight) {
        TableSnapshot base = new TableReader(store).read().join();
        return new TableCommitter(store, TimeSource.system(), Delay.system())
                .apply(base, new TableSnapshot(base.revision(), List.of(row(weight))), "op", "x", "c" + weight)
                .join()
                .revision();
    }

    private static void awaitRevision(TableSynchronizer synchronizer, long revision) {
        CompletableFuture<Void> reached = new CompletableFuture<>();
        poll(synchronizer, revision, reached);
        reached.orTimeout(20, TimeUnit.SECONDS).join();
    }

    private static void poll(TableSynchronizer synchronizer, long revision, CompletableFuture<Void> reached) {
        if (synchronizer.get().revision() >= revision) {
            reached.complete(null);
        } else if (!reached.isDone()) {
            var unused =
                    Delay.system().after(Duration.ofMillis(10)).thenRun(() -> poll(synchronizer, revision, reached));
        }
    }

    @Test
    void changeReachesEntriesAndAgentsOverSockets() {
        listed.add(new HostEntry("127.0.41.1", "z", "entry", false));
        listed.add(new HostEntry("127.0.41.2", "z", "entry", false));
        apply(1);
        start("127.0.41.1", "entry");
        start("127.0.41.2", "entry");
        start("127.0.41.9", "agent");
        synchronizers.forEach(synchronizer -> awaitRevision(synchronizer, 1));
        long revision = apply(2);
        synchronizers.forEach(synchronizer -> awaitRevision(synchronizer, revision));
        synchronizers.forEach(
                synchronizer -> assertThat(synchronizer.get().rows()).containsExactly(row(2)));
    }

    @Test
    void messagesRoundTripThroughCodec() {
        TableMessageCodec codec = new TableMessageCodec();
        RowPatch patch = new RowPatch("a", false, List.of(new RowPatch.FieldText(TableColumn.WEIGHT, "3")));
        List<TableMessage> messages = List.of(
                new TableMessage.Announce(7, -1),
                new TableMessage.Pull(3),
                new TableMessage.Patches(List.of(new RevisionPatch(8, 5, List.of(patch))), 9),
                new TableMessage.PullPage(7, 2),
                new TableMessage.SnapshotPage(7, 5, 0, 1, List.of(row(1))));
        assertThat(messages).allSatisfy(message -> assertThat(codec.decode(codec.encode(message)))
                .isEqualTo(message));
    }
}
