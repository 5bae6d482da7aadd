package firwheel.proxy.server;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;

/** How callers and targets say things in HTTP heads. The adapter to a platform implements it. */
public interface ProxyProtocol {
    /** Reads what a caller's request says of itself. */
    RequestMetadata readRequestMetadata(HttpServerRequest request);

    /** Returns the headers of a request to a target. */
    MultiMap targetRequestHeaders(HttpServerRequest request, ForwardingMetadata dispatch);

    /** Reads the head of a target's answer. */
    ResponseHead readResponseHead(HttpClientResponse response);
}
