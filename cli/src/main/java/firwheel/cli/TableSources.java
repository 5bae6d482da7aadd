package firwheel.cli;

import firwheel.entry.EntrySettings;
import firwheel.peers.TableSynchronizer;
import firwheel.store.HttpPlatformClient;
import firwheel.table.PollingTableSource;
import firwheel.table.TableReader;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import java.net.URI;
import java.time.Duration;

/** Creates sources of the current table of a platform. */
final class TableSources {
    static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

    private TableSources() {}

    /** Returns the sources that an entry reads its table from. */
    static TableSynchronizer.Sources forEntry(Vertx vertx, EntrySettings settings) {
        HttpPlatformClient platform =
                new HttpPlatformClient(vertx, URI.create(settings.platformUrl()), PLATFORM_TIMEOUT);
        return new TableSynchronizer.Sources(platform, platform, settings.linkPort(), settings.peers());
    }

    static PollingTableSource polling(Vertx vertx, String platformUrl) {
        HttpPlatformClient platform = new HttpPlatformClient(vertx, URI.create(platformUrl), PLATFORM_TIMEOUT);
        return new PollingTableSource(new TableReader(platform), Schedulers.single(), POLL_INTERVAL);
    }
}
