package firwheel.load;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * Options of a load run.
 *
 * @param entries addresses of the entries, used round-robin
 * @param ledgers addresses of stand-in services whose ledgers are read after the run
 * @param ratePerSecond requests per second
 * @param duration time during which requests are sent
 * @param deadline deadline of each request
 * @param maxInFlight maximum number of requests in flight; further ones are counted as shed
 * @param seed random seed of the request contents
 * @param mix request types and their weights
 */
public record LoadOptions(
        List<URI> entries,
        List<URI> ledgers,
        double ratePerSecond,
        Duration duration,
        Duration deadline,
        int maxInFlight,
        long seed,
        RequestMix mix) {
    public LoadOptions {
        entries = List.copyOf(entries);
        ledgers = List.copyOf(ledgers);
        if (entries.isEmpty() || !(ratePerSecond > 0) || duration.isNegative() || maxInFlight < 1) {
            throw new IllegalArgumentException(
                    "entries must not be empty, ratePerSecond and maxInFlight must be positive, duration not negative");
        }
    }
}
