package firwheel.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import java.io.File;
import java.io.IOException;
import java.time.Duration;

/** Reads settings from JSON files. Failures carry {@code FW-9001}. */
final class SettingsFile {
    private SettingsFile() {}

    static <T> T read(File file, Class<T> type) {
        try {
            return new ObjectMapper().readValue(file, type);
        } catch (IOException e) {
            throw new FirwheelException(
                    ResultCode.BAD_SETTINGS, "cannot read " + file + ": " + e.getMessage(), Duration.ZERO, e);
        }
    }
}
