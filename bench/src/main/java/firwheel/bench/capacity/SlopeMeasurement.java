package firwheel.bench.capacity;

import firwheel.model.TimeSource;
import java.util.EnumMap;
import java.util.Map;

/** Measures all slopes on the machine it runs on, in about a minute. */
public final class SlopeMeasurement {
    private SlopeMeasurement() {}

    /** Measures each slope once. */
    public static RecordedSlopes measure(TimeSource time) {
        Map<Slope, Double> slopes = new EnumMap<>(Slope.class);
        slopes.putAll(new StateSlopes(time).measure());
        slopes.putAll(new WireSlopes(time).measure());
        return new RecordedSlopes(machine(), slopes);
    }

    private static String machine() {
        return Runtime.getRuntime().availableProcessors() + " processors, Java "
                + System.getProperty("java.specification.version");
    }
}
