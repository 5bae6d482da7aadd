package firwheel.proxy.server;

import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether the head of a request comes from one request. A caller that breaks off within a head and then writes
 * another request leaves the request line of the second one in a header of the first, and single fields twice.
 */
final class RequestHeadCheck {
    /** End of a request line, as defined by RFC 9112; the joined value may have any beginning. */
    private static final Pattern REQUEST_LINE = Pattern.compile("[A-Z] (/|https?://)[^ ]* HTTP/1\\.[01]$");

    private static final Set<String> SINGLE_HEADERS = Set.of("host", "authorization", "content-type", "content-length");
    private static final Set<String> METHODS =
            Set.of("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE", "CONNECT");
    private static final int VERSION_CHARS = "HTTP/1.1".length();
    private static final String CHUNKED = "chunked";

    private final Set<String> singleHeaders = new HashSet<>(SINGLE_HEADERS);

    /**
     * Creates a check.
     *
     * @param protocolHeaders further headers that stand at most once in a request, in lower case
     */
    RequestHeadCheck(Set<String> protocolHeaders) {
        singleHeaders.addAll(protocolHeaders);
    }

    /** Returns why the head does not come from one request or has no certain length, or null if it is sound. */
    @Nullable
    String violation(HttpServerRequest request) {
        String method = request.method().name();
        if (!METHODS.contains(method) && METHODS.stream().anyMatch(last -> isCutBefore(method, last))) {
            return "method " + method;
        }
        Set<String> names = new HashSet<>();
        for (Map.Entry<String, String> header : request.headers()) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (singleHeaders.contains(name) && !names.add(name)) {
                return "header " + name + " twice";
            }
            if (endsWithRequestLine(header.getValue())) {
                return "request line in header " + name;
            }
        }
        List<String> codings = request.headers().getAll(HttpHeaders.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            return null;
        }
        if (request.version() != HttpVersion.HTTP_1_1) {
            return "transfer coding in a request of HTTP/1.0";
        }
        return codings.size() == 1 && codings.get(0).trim().equalsIgnoreCase(CHUNKED)
                ? null
                : "unknown transfer coding";
    }

    private static boolean endsWithRequestLine(String value) {
        // Few values end so; the pattern is not searched for in all others.
        return value.regionMatches(value.length() - VERSION_CHARS, "HTTP/1.", 0, VERSION_CHARS - 1)
                && REQUEST_LINE.matcher(value).find();
    }

    /** Returns whether the name consists of the beginning of a method and another one. */
    private static boolean isCutBefore(String name, String last) {
        return name.endsWith(last)
                && METHODS.stream()
                        .anyMatch(first -> first.startsWith(name.substring(0, name.length() - last.length())));
    }
}
