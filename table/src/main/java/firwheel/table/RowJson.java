package firwheel.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.model.TargetRow;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Converts the table's records to and from the JSON text stored in the platform. Unknown fields are ignored. */
public final class RowJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private RowJson() {}

    /** Formats a row as JSON. */
    public static String write(TargetRow row) {
        return writeValue(row);
    }

    /** Parses a row; fails with {@code FW-5002} when the text is invalid. */
    public static TargetRow readRow(String json) {
        return readValue(json, TargetRow.class);
    }

    /** Formats a record of the table as JSON. */
    static String writeValue(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot be written as JSON: " + value.getClass(), e);
        }
    }

    /** Parses a record of the table; fails with {@code FW-5002} when the text is invalid. */
    static <T> T readValue(String json, Class<T> type) {
        try {
            T value = MAPPER.readValue(json, type);
            if (value == null) {
                throw corruptedRow(type, null);
            }
            return value;
        } catch (JsonProcessingException e) {
            throw corruptedRow(type, e);
        }
    }

    private static FirwheelException corruptedRow(Class<?> type, @Nullable Throwable cause) {
        String detail = "invalid " + type.getSimpleName() + " in the store";
        return new FirwheelException(ResultCode.TABLE_FIELD, detail, Duration.ZERO, cause);
    }
}
