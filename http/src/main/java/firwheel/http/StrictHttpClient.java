package firwheel.http;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;

/**
 * Creates clients of HTTP/1.1 that fail a call and close its connection if the head of the response, as received, is not
 * one of RFC 9112 or states a status outside 100 to 599. Interim responses are dropped. Vert.x has no option for it: its
 * decoder is lenient with responses, and it takes interim ones that it does not know for final.
 */
public final class StrictHttpClient {
    private StrictHttpClient() {}

    /** Creates a client with the default pool. */
    public static HttpClient create(Vertx vertx, HttpClientOptions options) {
        return create(vertx, options, new PoolOptions());
    }

    /** Creates a client. */
    public static HttpClient create(Vertx vertx, HttpClientOptions options, PoolOptions pool) {
        return vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(ResponseHeadGuard::install)
                .build();
    }
}
