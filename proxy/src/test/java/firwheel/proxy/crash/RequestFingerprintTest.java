package firwheel.proxy.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class RequestFingerprintTest {
    private static RequestFingerprint of(String method, String host, String uri, String caller, String body) {
        return RequestFingerprint.of(method, host, uri, caller, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void differsWithEachFieldAndWhereOneFieldEnds() {
        Set<RequestFingerprint> distinct = new HashSet<>();
        distinct.add(of("GET", "h", "/a", "org", "body"));
        distinct.add(of("GET", "h", "/a", "org", "body"));
        distinct.add(of("POST", "h", "/a", "org", "body"));
        distinct.add(of("GET", "g", "/a", "org", "body"));
        distinct.add(of("GET", "h", "/a?b", "org", "body"));
        distinct.add(of("GET", "h", "/a", "other", "body"));
        distinct.add(of("GET", "h", "/a", "org", ""));
        distinct.add(of("GET", "h", "/ao", "rg", "body"));
        distinct.add(of("GET", "h", "/a", "orgb", "ody"));

        assertThat(distinct).hasSize(8);
    }
}
