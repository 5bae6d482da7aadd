package firwheel.cli;

import firwheel.model.FirwheelException;
import firwheel.model.TimeSource;
import firwheel.store.Delay;
import firwheel.store.HostList;
import firwheel.store.HttpPlatformClient;
import firwheel.store.ResilientTableService;
import firwheel.store.TableService;
import firwheel.table.TableCommitter;
import firwheel.table.TableReader;
import io.vertx.core.Vertx;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Connection of a command to the platform, with its own Vert.x instance. */
final class PlatformConnection implements AutoCloseable {
    private final Vertx vertx = Vertx.vertx();
    private final HttpPlatformClient client;
    private final TableService service;

    PlatformConnection(String platformUrl) {
        client = new HttpPlatformClient(vertx, URI.create(platformUrl), TableSources.PLATFORM_TIMEOUT);
        service = new ResilientTableService(
                client, TimeSource.system(), Delay.system(), Math::random, ResilientTableService.Limits.COMMAND);
    }

    Vertx vertx() {
        return vertx;
    }

    HostList hostList() {
        return client;
    }

    TableService service() {
        return service;
    }

    TableReader reader() {
        return new TableReader(service);
    }

    TableCommitter committer() {
        return new TableCommitter(service, TimeSource.system(), Delay.system());
    }

    /** Waits for the result of {@code future}; its failure is thrown as {@link FirwheelException}. */
    static <T> T await(CompletableFuture<T> future) {
        try {
            return future.join();
        } catch (CompletionException e) {
            throw FirwheelException.of(e);
        }
    }

    @Override
    public void close() {
        var unused = vertx.close();
    }
}
