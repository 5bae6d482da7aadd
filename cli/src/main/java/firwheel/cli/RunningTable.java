package firwheel.cli;

import firwheel.entry.EntrySettings;
import firwheel.peers.TableLinks;
import firwheel.store.HttpPlatform;
import firwheel.table.TableFollower;
import firwheel.table.TableReader;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import java.net.URI;
import java.time.Duration;

/** Builds what follows the table of a platform. */
final class RunningTable {
    static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

    private RunningTable() {}

    /** Returns where an entry gets its table from. */
    static TableLinks.Sources sources(Vertx vertx, EntrySettings settings) {
        HttpPlatform platform = new HttpPlatform(vertx, URI.create(settings.platformUrl()), PLATFORM_TIMEOUT);
        return new TableLinks.Sources(platform, platform, settings.linkPort(), settings.peers());
    }

    static TableFollower follow(Vertx vertx, String platformUrl) {
        HttpPlatform platform = new HttpPlatform(vertx, URI.create(platformUrl), PLATFORM_TIMEOUT);
        return new TableFollower(new TableReader(platform), Schedulers.single(), POLL_INTERVAL);
    }
}
