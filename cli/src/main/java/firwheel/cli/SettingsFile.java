package firwheel.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import java.io.File;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Settings of one process, read from JSON. Secrets from the environment override those of the file; the result is
 * validated against the schema of the role, and defaults are filled in. Failures carry {@code FW-9001} and list all
 * violations, but never a value of the file, which may be a secret.
 */
final class SettingsFile {
    /** Environment variable that overrides {@code sharedKey}. */
    static final String SHARED_KEY_VARIABLE = "FIRWHEEL_SHARED_KEY";
    /** Environment variable that overrides {@code tls.privateKey}. */
    static final String TLS_KEY_VARIABLE = "FIRWHEEL_TLS_KEY";

    private static final String ROLE = "role";
    private static final String LOG_FORMAT = "logFormat";

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private final SettingsRole role;
    private final LogFormat logFormat;
    private final ObjectNode json;

    private SettingsFile(SettingsRole role, LogFormat logFormat, ObjectNode json) {
        this.role = role;
        this.logFormat = logFormat;
        this.json = json;
    }

    /** Reads settings of the role that the file names. */
    static SettingsFile read(File file, Map<String, String> environment) {
        ObjectNode json = parse(file);
        SettingsRole role = SettingsRole.ofLabel(json.path(ROLE).asText())
                .orElseThrow(() ->
                        new FirwheelException(ResultCode.BAD_SETTINGS, file + "\n  $.role: must be entry or agent"));
        overrideSecrets(json, environment);
        SettingsSchema schema = SettingsSchema.of(role);
        List<String> violations = schema.violations(json);
        if (!violations.isEmpty()) {
            throw new FirwheelException(
                    ResultCode.BAD_SETTINGS, file + "\n  " + String.join("\n  ", violations) + "\n");
        }
        schema.fillDefaults(json);
        LogFormat logFormat = LogFormat.ofLabel(json.path(LOG_FORMAT).asText());
        json.remove(List.of(ROLE, LOG_FORMAT));
        return new SettingsFile(role, logFormat, json);
    }

    /** Reads settings, which must be of {@code role}, and switches the process to their log format. */
    static <T> T readAndApply(File file, SettingsRole role, Class<T> type) {
        SettingsFile settings = read(file, System.getenv());
        if (settings.role() != role) {
            throw new FirwheelException(
                    ResultCode.BAD_SETTINGS, file + "\n  $.role: must be " + role.label() + " for this command\n");
        }
        settings.logFormat().apply();
        return settings.as(type);
    }

    SettingsRole role() {
        return role;
    }

    LogFormat logFormat() {
        return logFormat;
    }

    /** Returns the settings as a record of type {@code type}. */
    <T> T as(Class<T> type) {
        try {
            return MAPPER.treeToValue(json, type);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("JSON schema does not match record " + type.getSimpleName(), e);
        }
    }

    private static ObjectNode parse(File file) {
        try {
            JsonNode json = MAPPER.readTree(file);
            if (json instanceof ObjectNode object) {
                return object;
            }
            throw new FirwheelException(ResultCode.BAD_SETTINGS, file + "\n  $: must be an object\n");
        } catch (JsonProcessingException e) {
            throw new FirwheelException(
                    ResultCode.BAD_SETTINGS, file + "\n  " + describePosition(e) + ": not valid JSON\n");
        } catch (IOException e) {
            throw new FirwheelException(ResultCode.BAD_SETTINGS, file + " cannot be read.");
        }
    }

    private static String describePosition(JsonProcessingException error) {
        return Optional.ofNullable(error.getLocation())
                .map(location -> "line " + location.getLineNr() + ", column " + location.getColumnNr())
                .orElse("$");
    }

    private static void overrideSecrets(ObjectNode json, Map<String, String> environment) {
        String sharedKey = environment.get(SHARED_KEY_VARIABLE);
        if (sharedKey != null) {
            json.put("sharedKey", sharedKey);
        }
        String tlsKey = environment.get(TLS_KEY_VARIABLE);
        if (tlsKey != null && !json.has("tls")) {
            json.putObject("tls");
        }
        if (tlsKey != null && json.get("tls") instanceof ObjectNode tls) {
            tls.put("privateKey", tlsKey);
        }
    }
}
