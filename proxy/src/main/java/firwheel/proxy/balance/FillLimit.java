package firwheel.proxy.balance;

import firwheel.proxy.config.EngineConfig;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Limits how many requests are placed at each rank of a group, so that the pauses between events of streams stay within
 * the objective of their routes. All ranks execute each pass together, so all entries see nearly the same pauses and
 * reach nearly the same limit.
 *
 * <p>The duration of a pass follows from its number of sequences, by the published parameters of the engine, and from a
 * factor that grows when work is uneven or a rank is slow. The factor is measured; the limit is the fill at which passes
 * keep the objective. Where that would leave half of the slots empty there is no limit, since late responses are worth
 * more than none.
 */
final class FillLimit {
    /** Time between two calls of {@link #update}. */
    static final Duration INTERVAL = Duration.ofMillis(250);

    private static final int INTERVALS = 20; // several shifts of demand, with the uneven passes that follow each
    private static final double INTERVAL_QUANTILE = 0.9; // of the pauses in an interval
    private static final double WINDOW_QUANTILE = 0.8; // of the intervals; leaves out single stalls
    private static final int MIN_PAUSES = 5; // with fewer, the quantile says little
    private static final int MAX_PAUSES = 512;
    private static final double TARGET_RATIO = 0.95; // of pauses to their objective
    private static final double MIN_FILL = 0.55;
    private static final double NO_LIMIT = 1;

    private final List<Double> ratios = new ArrayList<>();
    private final Deque<Double> factors = new ArrayDeque<>();
    private double fill = NO_LIMIT;

    /** Records a pause between two events of a stream. */
    void onPause(Duration pause, Duration objective) {
        if (objective.toMillis() > 0 && ratios.size() < MAX_PAUSES) {
            ratios.add(pause.toMillis() / (double) objective.toMillis());
        }
    }

    /**
     * Adapts the limit to the pauses since the last call.
     *
     * @param currentFill mean share of the slots that are in use
     */
    void update(EngineConfig engine, double currentFill) {
        double emptyPassMillis = engine.stepMillis() * engine.stepsPerPass();
        double slotsMillis = engine.millisPerSequence() * engine.slots() * engine.stepsPerPass();
        if (ratios.size() >= MIN_PAUSES && emptyPassMillis > 0 && slotsMillis > 0) {
            factors.addLast(quantile(ratios, INTERVAL_QUANTILE) / (emptyPassMillis + slotsMillis * currentFill));
        }
        ratios.clear();
        while (factors.size() > INTERVALS) {
            factors.removeFirst();
        }
        if (!factors.isEmpty()) {
            double factor = quantile(List.copyOf(factors), WINDOW_QUANTILE);
            double sustainable = (TARGET_RATIO / factor - emptyPassMillis) / slotsMillis;
            fill = sustainable < MIN_FILL ? NO_LIMIT : Math.min(NO_LIMIT, sustainable);
        }
    }

    /** Returns how many of the slots of a rank may be in use. */
    int slots(int slots) {
        return (int) Math.max(1, Math.round(slots * fill));
    }

    /** Returns the share of the slots that may be in use. */
    double fill() {
        return fill;
    }

    private static double quantile(List<Double> values, double quantile) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get((int) Math.floor(quantile * (sorted.size() - 1)));
    }
}
