package firwheel.bench.capacity;

/**
 * Size and peak load of a deployment.
 *
 * @param label name of the size
 * @param entries number of entry hosts
 * @param targets number of target hosts, each with one agent
 * @param zones number of availability zones
 * @param requestsPerSecond requests a second at peak load
 * @param tokensPerSecond tokens generated a second at peak load
 * @param requestSeconds duration of a request
 * @param rows number of rows in the table
 * @param groups number of model groups
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

    /** Returns the size in operation; its request and token rates per target are those of the design size. */
    public static DeploymentSize current() {
        return new DeploymentSize("today", 18, 15, 3, 6, 2_625, REQUEST_SECONDS, 6, 3, 100, 36, 0.02);
    }

    /** Returns the size to design for; it assumes 12,000 table rows, one per target. */
    public static DeploymentSize design() {
        return new DeploymentSize(
                "design", 410, 12_000, 23, 4_800, 2_100_000, REQUEST_SECONDS, 12_000, 375, 12_000, 800, 0.02);
    }

    double entriesPerZone() {
        return (double) entries / zones;
    }

    double targetsPerZone() {
        return (double) targets / zones;
    }

    double groupsPerZone() {
        return (double) groups / zones;
    }

    /** Returns the requests a second of one entry. */
    double requestsPerEntry() {
        return requestsPerSecond / entries;
    }

    /** Returns the requests a second of one target. */
    double requestsPerTarget() {
        return requestsPerSecond / targets;
    }

    /** Returns table changes a second, assuming that those of a day are spread evenly over eight working hours. */
    double changesPerSecond() {
        return changesPerDay / (8 * 3_600);
    }
}
