package firwheel.entry;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;

/**
 * Idle timeout of one caller connection. A connection counts as idle until a request head has been received completely,
 * so a head that arrives too slowly also closes the connection. Used on one event loop only.
 */
final class ConnectionGuard {
    private final Vertx vertx;
    private final HttpConnection connection;
    private final long idleTimeoutMillis;
    private int openRequests;
    private boolean stopped;
    private long timer;

    ConnectionGuard(Vertx vertx, HttpConnection connection, long firstRequestTimeoutMillis, long idleTimeoutMillis) {
        this.vertx = vertx;
        this.connection = connection;
        this.idleTimeoutMillis = idleTimeoutMillis;
        restartTimer(firstRequestTimeoutMillis);
    }

    /** Suspends the timeout while a request is being processed. */
    void requestStarted() {
        openRequests++;
        vertx.cancelTimer(timer);
    }

    /** Restarts the timeout if no other request is being processed. */
    void requestEnded() {
        openRequests--;
        if (openRequests == 0 && !stopped) {
            restartTimer(idleTimeoutMillis);
        }
    }

    /** Stops the timeout because the connection has closed. */
    void stop() {
        stopped = true;
        vertx.cancelTimer(timer);
    }

    private void restartTimer(long timeoutMillis) {
        vertx.cancelTimer(timer);
        timer = vertx.setTimer(timeoutMillis, ignored -> connection.close());
    }
}
