package firwheel.proxy.server;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import java.util.Set;

/** HTTP header conventions of clients and targets, implemented by each platform's adapter. */
public interface ProxyProtocol {
    /** Reads the metadata of a client request. */
    RequestMetadata readRequestMetadata(HttpServerRequest request);

    /** Returns the headers of the request to a target. */
    MultiMap targetRequestHeaders(HttpServerRequest request, ForwardingMetadata forwarding);

    /** Returns the header in which a response states the attempt that it belongs to. */
    String attemptIdHeader();

    /** Returns the protocol's headers that stand at most once in a response, in lower case. */
    Set<String> singleResponseHeaders();

    /** Returns the protocol's headers that stand at most once in a request, in lower case. */
    Set<String> singleRequestHeaders();

    /** Returns the names of further fields that events of a stream may have, in lower case. */
    Set<String> eventFields();

    /** Reads the head of a target's response. */
    ResponseHead readResponseHead(int status, MultiMap headers);
}
