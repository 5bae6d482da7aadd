package firwheel.bench.capacity;

import firwheel.model.AttemptId;
import firwheel.model.TargetRow;
import firwheel.model.TimeSource;
import firwheel.peers.TableMessageCodec;
import firwheel.store.EventLoops;
import firwheel.table.RevisionPatch;
import firwheel.table.RowPatch;
import firwheel.table.TableColumn;
import firwheel.table.TableMessage;
import firwheel.wire.AttemptMessage;
import firwheel.wire.Link;
import firwheel.wire.LinkEndpoint;
import firwheel.wire.LinkIdentity;
import firwheel.wire.LinkSecurity;
import firwheel.wire.LoadMessage;
import firwheel.wire.Message;
import firwheel.wire.MessageCodec;
import firwheel.wire.SharedKey;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/** Measures the size and codec time of frames and the heap of a link. */
final class WireSlopes {
    private static final int LINKS = 1_000;
    private static final int ENDS_PER_LINK = 2;
    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final int EVENT_BYTES = 120;
    private static final int FRAMES = 50_000;
    private static final int SNAPSHOT_ROWS = 100;
    private static final String LOOPBACK = "127.0.0.1";

    private final MicroBenchmark benchmark;
    private final MessageCodec codec = new MessageCodec();
    private final TableMessageCodec tableCodec = new TableMessageCodec();
    private final AttemptId attempt = AttemptId.random(new SplittableRandom(1));

    WireSlopes(TimeSource time) {
        this.benchmark = new MicroBenchmark(time);
    }

    Map<Slope, Double> measure() {
        Map<Slope, Double> slopes = new EnumMap<>(Slope.class);
        slopes.put(Slope.DISPATCH_BYTES, frameBytes(SampleMessages.dispatch(attempt)));
        slopes.put(Slope.CHUNK_BYTES, frameBytes(new AttemptMessage.Chunk(attempt, 100, new byte[0])));
        slopes.put(Slope.CREDIT_BYTES, frameBytes(new AttemptMessage.Credit(attempt, 8, 1)));
        slopes.put(Slope.PROBE_BYTES, frameBytes(new LoadMessage.Probe(100_000)));
        slopes.put(Slope.REPORT_BYTES, frameBytes(SampleMessages.report()));
        slopes.put(Slope.CLOCK_BYTES, frameBytes(new LoadMessage.ClockReading(100_000_000)));
        slopes.put(Slope.ANNOUNCE_BYTES, tableBytes(new TableMessage.Announce(12_000, Long.MAX_VALUE)));
        slopes.put(Slope.PATCH_BYTES, tableBytes(patch()));
        slopes.put(Slope.SNAPSHOT_ROW_BYTES, snapshotRowBytes());
        slopes.put(Slope.FRAME_MICROS, frameMicros());
        slopes.put(Slope.LINK_HEAP_BYTES, linkHeapBytes());
        return slopes;
    }

    private double frameBytes(Message message) {
        return LENGTH_PREFIX_BYTES + codec.encode(message).length;
    }

    private double tableBytes(TableMessage message) {
        return frameBytes(tableCodec.encode(message));
    }

    private static TableMessage patch() {
        RowPatch.FieldText state = new RowPatch.FieldText(TableColumn.STATE, "leaving");
        RowPatch row = new RowPatch("group-00012", false, List.of(state));
        return new TableMessage.Patches(List.of(new RevisionPatch(12_000, Long.MAX_VALUE, List.of(row))), 12_000);
    }

    private double snapshotRowBytes() {
        List<TargetRow> rows = SampleTable.services(SNAPSHOT_ROWS).rows();
        return tableBytes(new TableMessage.SnapshotPage(12_000, Long.MAX_VALUE, 0, 1, rows)) / SNAPSHOT_ROWS;
    }

    private double frameMicros() {
        AttemptMessage.Chunk chunk = new AttemptMessage.Chunk(attempt, 100, new byte[EVENT_BYTES]);
        return benchmark.micros(FRAMES, () -> codec.decode(codec.encode(chunk)));
    }

    private static double linkHeapBytes() {
        Vertx vertx = Vertx.vertx();
        try {
            openLinks(vertx, 50);
            return MicroBenchmark.heapBytes(1, ignored -> openLinks(vertx, LINKS)) / (LINKS * ENDS_PER_LINK);
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }

    private static List<Link> openLinks(Vertx vertx, int count) {
        return EventLoops.deploy(vertx, () -> openLinksOnEventLoop(vertx, count))
                .join();
    }

    private static CompletableFuture<List<Link>> openLinksOnEventLoop(Vertx vertx, int count) {
        LinkSecurity security = new LinkSecurity(new SharedKey("measurement"), null);
        LinkEndpoint acceptor = new LinkEndpoint(vertx, security, new LinkIdentity("acceptor", "zone-a", "agent", 1));
        LinkEndpoint initiator = new LinkEndpoint(vertx, security, new LinkIdentity("initiator", "zone-a", "entry", 2));
        List<Link> accepted = new ArrayList<>();
        return acceptor.listen(LOOPBACK, 0, accepted::add)
                .thenCompose(server -> openRemaining(initiator, server.actualPort(), new ArrayList<>(), count));
    }

    private static CompletableFuture<List<Link>> openRemaining(
            LinkEndpoint endpoint, int port, List<Link> opened, int count) {
        if (opened.size() == count) {
            return CompletableFuture.completedFuture(opened);
        }
        return endpoint.connect(LOOPBACK, port).thenCompose(link -> {
            opened.add(link);
            return openRemaining(endpoint, port, opened, count);
        });
    }
}
