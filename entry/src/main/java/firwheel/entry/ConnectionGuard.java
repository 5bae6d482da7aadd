package firwheel.entry;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;

/**
 * Closes a caller's connection that has had no request under way for too long, which includes a request head that
 * arrives slowly. Used on one event loop only.
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

    /** Suspends the limit: a request is under way. */
    void requestStarted() {
        openRequests++;
        vertx.cancelTimer(timer);
    }

    /** Starts the limit again when no other request is under way. */
    void requestEnded() {
        openRequests--;
        if (openRequests == 0 && !stopped) {
            restartTimer(idleTimeoutMillis);
        }
    }

    /** Ends the watch because the connection is gone. */
    void stop() {
        stopped = true;
        vertx.cancelTimer(timer);
    }

    private void restartTimer(long timeoutMillis) {
        vertx.cancelTimer(timer);
        timer = vertx.setTimer(timeoutMillis, ignored -> connection.close());
    }
}
