package firwheel.wire;

import java.time.Duration;

/**
 * Times after which a silent peer is given up.
 *
 * @param handshake longest time from connection to authentication
 * @param frame longest time that a frame may stay incomplete
 */
record LinkTimeouts(Duration handshake, Duration frame) {
    static final LinkTimeouts DEFAULTS = new LinkTimeouts(Duration.ofSeconds(3), Duration.ofSeconds(30));
}
