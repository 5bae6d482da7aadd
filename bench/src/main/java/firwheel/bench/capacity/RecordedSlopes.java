package firwheel.bench.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Slopes recorded by one measurement run.
 *
 * @param machine processors and Java version of the machine
 * @param values value of each slope, in its unit
 */
public record RecordedSlopes(String machine, Map<Slope, Double> values) {
    public RecordedSlopes {
        values = Map.copyOf(values);
    }

    /** Reads recorded slopes from a JSON file. */
    public static RecordedSlopes read(Path file) throws IOException {
        return new ObjectMapper().readValue(Files.readString(file), RecordedSlopes.class);
    }

    /**
     * Returns the value of a slope.
     *
     * @throws IllegalArgumentException if the slope was not recorded
     */
    public double get(Slope slope) {
        Double value = values.get(slope);
        if (value == null) {
            throw new IllegalArgumentException(
                    slope + " was not recorded; run \"firwheel bench slopes\" to measure it");
        }
        return value;
    }
}
