package firwheel.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;

/** Response of the stand-in engine, derived from the request alone so that a client can verify it byte for byte. */
public final class ExpectedResponse {
    /** Number of tokens generated if the request sets no limit. */
    public static final int DEFAULT_MAX_TOKENS = 32;

    private static final int DIGEST_BYTES = 16;
    private static final int RADIX = 36;
    private static final int TOKEN_VALUES = 1_000_000;

    private ExpectedResponse() {}

    /** Returns the tokens generated for {@code prompt}; each ends with a space. */
    public static List<String> tokens(String model, String prompt, int maxTokens) {
        SplittableRandom random = new SplittableRandom(seed(model, prompt));
        List<String> tokens = new ArrayList<>(maxTokens);
        for (int i = 0; i < maxTokens; i++) {
            tokens.add(Integer.toString(random.nextInt(TOKEN_VALUES), RADIX) + " ");
        }
        return tokens;
    }

    /** Returns the {@code id} field of the response. */
    public static String id(String model, String prompt) {
        return "cmpl-" + Long.toHexString(seed(model, prompt));
    }

    /** Returns the prompt text of a chat or completion request. */
    public static String prompt(JsonNode request) {
        if (request.has("prompt")) {
            return request.get("prompt").asText();
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : request.path("messages")) {
            text.append(message.path("role").asText()).append(':');
            text.append(message.path("content").asText()).append('\n');
        }
        return text.toString();
    }

    /** Returns the digest that the stand-in service returns for a request body. */
    public static String digest(byte[] body) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(body);
            return HexFormat.of().formatHex(hash, 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static long seed(String model, String prompt) {
        CRC32C crc = new CRC32C();
        crc.update(model.getBytes(StandardCharsets.UTF_8));
        crc.update(0);
        crc.update(prompt.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
