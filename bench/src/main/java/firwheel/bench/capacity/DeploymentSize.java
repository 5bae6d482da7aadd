package firwheel.bench.capacity;

/**
 * Size of a deployment.
 *
 * @param label heading of its column
 * @param entries entry hosts
 * @param targets target hosts, each with an agent
 * @param zones availability zones
 * @param requestsPerSecond requests at the peak
 * @param tokensPerSecond tokens generated at the peak
 * @param requestSeconds time that a request stays open
 * @param rows rows of the table
 * @param groups model groups
 * @param changesPerDay accepted table changes a day
 * @param replacementsPerDay hosts restarted or replaced a day
 * @param keyedShare share of requests that carry an idempotency key
 */
public record DeploymentSize(
        String label,
        int entries,
        int targets,
        int zones,
        double requestsPerSecond,
        double tokensPerSecond,
        double requestSeconds,
        int rows,
        int groups,
        double changesPerDay,
        double replacementsPerDay,
        double keyedShare) {
    private static final double REQUEST_SECONDS = 27;

    /** Returns the size that runs today; its rates are those of the design size for each target. */
    public static DeploymentSize current() {
        return new DeploymentSize("today", 18, 15, 3, 6, 2_625, REQUEST_SECONDS, 6, 3, 100, 36, 0.02);
    }

    /** Returns the size to design for; the table is taken at 12,000 rows, one for each target. */
    public static DeploymentSize design() {
        return new DeploymentSize(
                "design", 410, 12_000, 23, 4_800, 2_100_000, REQUEST_SECONDS, 12_000, 375, 12_000, 800, 0.02);
    }

    /** Returns the entries of one zone. */
    double entriesPerZone() {
        return (double) entries / zones;
    }

    /** Returns the targets of one zone. */
    double targetsPerZone() {
        return (double) targets / zones;
    }

    /** Returns the model groups of one zone. */
    double groupsPerZone() {
        return (double) groups / zones;
    }

    /** Returns the requests that one entry takes in a second. */
    double requestsPerEntry() {
        return requestsPerSecond / entries;
    }

    /** Returns the requests that one target takes in a second. */
    double requestsPerTarget() {
        return requestsPerSecond / targets;
    }

    /** Returns the table changes of one second, spread evenly over a working day of eight hours. */
    double changesPerSecond() {
        return changesPerDay / (8 * 3_600);
    }
}
