package firwheel.wire;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import org.jspecify.annotations.Nullable;

/** Socket options of links: TCP, with mutual TLS if certificates and keys are configured. */
final class LinkSocketOptions {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private LinkSocketOptions() {}

    /** Returns options for opening links. Host names are not verified, because peers are addressed by IP address. */
    static NetClientOptions clientOptions(@Nullable LinkTls tls) {
        NetClientOptions options =
                new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setTcpNoDelay(true);
        if (tls != null) {
            options.setSsl(true)
                    .setHostnameVerificationAlgorithm("")
                    .setKeyCertOptions(keyCertOptions(tls))
                    .setTrustOptions(trustOptions(tls));
        }
        return options;
    }

    /** Returns options for accepting links. With TLS, a peer must present a trusted certificate. */
    static NetServerOptions serverOptions(@Nullable LinkTls tls) {
        NetServerOptions options = new NetServerOptions().setTcpNoDelay(true);
        if (tls != null) {
            options.setSsl(true)
                    .setClientAuth(ClientAuth.REQUIRED)
                    .setKeyCertOptions(keyCertOptions(tls))
                    .setTrustOptions(trustOptions(tls));
        }
        return options;
    }

    private static PemKeyCertOptions keyCertOptions(LinkTls tls) {
        return new PemKeyCertOptions()
                .addCertValue(Buffer.buffer(tls.certificateChain()))
                .addKeyValue(Buffer.buffer(tls.privateKey()));
    }

    private static PemTrustOptions trustOptions(LinkTls tls) {
        return new PemTrustOptions().addCertValue(Buffer.buffer(tls.trustedCertificates()));
    }
}
