package firwheel.wire;

import java.util.Objects;

/**
 * Material for mutual TLS on links, as PEM text. Its text form never shows the private key.
 *
 * @param certificateChain certificate of this process, followed by its issuers
 * @param privateKey private key of the certificate, PKCS #8
 * @param trustedCertificates issuers that a peer's certificate must come from
 */
public record LinkTls(String certificateChain, String privateKey, String trustedCertificates) {
    public LinkTls {
        Objects.requireNonNull(certificateChain, "certificateChain");
        Objects.requireNonNull(privateKey, "privateKey");
        Objects.requireNonNull(trustedCertificates, "trustedCertificates");
    }

    @Override
    public String toString() {
        return "LinkTls[hidden]";
    }
}
