package firwheel.cli;

import firwheel.cli.HostStatuses.HostStatus;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Shows the table revision that each host has in force, and who lags. */
final class StatusCommand implements Command {
    @Option(name = "--platform", metaVar = "URL", required = true, usage = "address of the platform")
    private String platformUrl = "";

    @Option(name = "--hosts", metaVar = "IP:PORT,...", usage = "admin addresses to ask, in place of the host list")
    private String hosts = "";

    @Option(name = "--admin-port", metaVar = "N", usage = "admin port of listed hosts")
    private int adminPort = HostStatuses.DEFAULT_ADMIN_PORT;

    @Override
    public ExitCode run() {
        try (OperatorPlatform platform = new OperatorPlatform(platformUrl)) {
            List<HostStatus> statuses =
                    HostStatuses.of(platform, hosts, adminPort).ask();
            long stored = OperatorPlatform.await(platform.reader().readRevision());
            long highest = Math.max(
                    stored,
                    statuses.stream().mapToLong(HostStatus::revision).max().orElse(0));
            System.out.println(
                    "platform revision " + stored + (stored < highest ? ", OLDER than what hosts have in force" : ""));
            statuses.forEach(status -> System.out.println(HostStatuses.describe(status, highest)));
            boolean allCurrent = statuses.stream().allMatch(status -> status.revision() == highest);
            return allCurrent && stored == highest ? ExitCode.DONE : ExitCode.FAILED;
        }
    }
}
