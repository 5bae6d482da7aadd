package firwheel.bench.decisions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** What the callers of an emulated day got, by the time at which they first arrived. */
public final class DayResult {
    /** Length of an interval of the result. */
    public static final Duration INTERVAL = Duration.ofSeconds(2);

    private static final double LATE_WORTH = 0.5;

    /** Counts of callers. */
    public static final class Counts {
        private int inAim;
        private int late;
        private int refused;
        private int failed;
        private int refusedAgain;

        private void add(Caller caller) {
            Caller.Result result = caller.result();
            if (result == null) {
                return;
            }
            switch (result) {
                case IN_AIM -> inAim++;
                case LATE -> late++;
                case REFUSED -> refused++;
                case FAILED -> failed++;
            }
            refusedAgain += caller.refusals() > 1 ? 1 : 0;
        }

        /** Returns the number of callers. */
        public int all() {
            return inAim + late + refused + failed;
        }

        /** Returns the share of callers with a complete response within their objectives. */
        public double inAim() {
            return share(inAim);
        }

        /** Returns the share of callers with a complete response that was late. */
        public double late() {
            return share(late);
        }

        /** Returns the share of callers that were refused in the end. */
        public double refused() {
            return share(refused);
        }

        /** Returns the share of callers whose response was broken off or never came. */
        public double failed() {
            return share(failed);
        }

        /** Returns the share of callers that were refused again after they had returned. */
        public double refusedAgain() {
            return share(refusedAgain);
        }

        /** Returns the mean worth of a response: 1 within the objectives, half of that if late. */
        public double worth() {
            return inAim() + LATE_WORTH * late();
        }

        private double share(int count) {
            return all() == 0 ? 0 : (double) count / all();
        }
    }

    private final Counts total = new Counts();
    private final List<Counts> intervals = new ArrayList<>();

    void add(Caller caller) {
        total.add(caller);
        int interval = (int) (caller.arrivedNanos() / INTERVAL.toNanos());
        while (intervals.size() <= interval) {
            intervals.add(new Counts());
        }
        intervals.get(interval).add(caller);
    }

    /** Returns the counts of the whole day. */
    public Counts total() {
        return total;
    }

    /** Returns the counts of each interval. */
    public List<Counts> intervals() {
        return List.copyOf(intervals);
    }
}
