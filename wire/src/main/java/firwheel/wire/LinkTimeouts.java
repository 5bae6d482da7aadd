package firwheel.wire;

import java.time.Duration;

/**
 * Timeouts after which the link to an unresponsive peer is closed.
 *
 * @param handshake maximum time from connection to authentication
 * @param frame maximum time that a frame may remain incomplete
 */
record LinkTimeouts(Duration handshake, Duration frame) {
    static final LinkTimeouts DEFAULTS = new LinkTimeouts(Duration.ofSeconds(3), Duration.ofSeconds(30));
}
