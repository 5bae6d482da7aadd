package firwheel.cli;

import firwheel.cli.HostStatusClient.HostStatus;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Prints the table revision that each host has in force, and which hosts lag behind. */
final class StatusCommand implements Command {
    @Option(name = "--platform", metaVar = "URL", required = true, usage = "address of the platform")
    private String platformUrl = "";

    @Option(name = "--hosts", metaVar = "IP:PORT,...", usage = "admin addresses to query, instead of the host list")
    private String hosts = "";

    @Option(name = "--admin-port", metaVar = "N", usage = "admin port of the hosts in the host list")
    private int adminPort = HostStatusClient.DEFAULT_ADMIN_PORT;

    @Override
    public ExitCode run() {
        try (PlatformConnection platform = new PlatformConnection(platformUrl)) {
            List<HostStatus> statuses =
                    HostStatusClient.of(platform, hosts, adminPort).queryAll();
            long stored = PlatformConnection.await(platform.reader().readRevision());
            long highest = Math.max(
                    stored,
                    statuses.stream().mapToLong(HostStatus::revision).max().orElse(0));
            System.out.println("platform revision " + stored
                    + (stored < highest ? ", OLDER than the revision of some hosts" : ""));
            statuses.forEach(status -> System.out.println(HostStatusClient.describe(status, highest)));
            boolean allCurrent = statuses.stream().allMatch(status -> status.revision() == highest);
            return allCurrent && stored == highest ? ExitCode.SUCCESS : ExitCode.FAILED;
        }
    }
}
