package firwheel.load;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * What to offer and where.
 *
 * @param entries addresses of the entries, used in turn
 * @param ledgers addresses of stand-in services whose ledgers are read at the end
 * @param ratePerSecond requests offered each second
 * @param duration time during which requests are offered
 * @param deadline deadline that each request carries
 * @param maxInFlight requests open at once; more are counted as shed by the generator
 * @param seed seed of the request contents
 * @param mix kinds of requests
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
            throw new IllegalArgumentException("at least one entry, a positive rate and a duration are needed");
        }
    }
}
