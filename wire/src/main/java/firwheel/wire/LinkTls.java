package firwheel.wire;

import java.util.Objects;

/**
 * Certificates and private key for mutual TLS on links, in PEM format. {@code toString} does not reveal the private
 * key.
 *
 * @param certificateChain certificate of this process, followed by the certificates of its issuers
 * @param privateKey private key of the certificate, in PKCS #8
 * @param trustedCertificates certificates of the issuers trusted to sign a peer's certificate
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
