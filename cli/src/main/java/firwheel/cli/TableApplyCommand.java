package firwheel.cli;

import firwheel.model.TableSnapshot;
import firwheel.table.ApplyResult;
import firwheel.table.AuditTrail;
import firwheel.table.TableValidator;
import java.io.File;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.UUID;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Applies a table file in one transaction. */
final class TableApplyCommand implements Command {
    @Argument(metaVar = "FILE", required = true, usage = "table file in CSV, edited from an export")
    private File file = new File("");

    @Option(name = "--platform", metaVar = "URL", required = true, usage = "address of the platform")
    private String platformUrl = "";

    @Option(name = "--author", metaVar = "NAME", required = true, usage = "author of the change")
    private String author = "";

    @Option(name = "--reason", metaVar = "TEXT", required = true, usage = "reason for the change")
    private String reason = "";

    @Option(
            name = "--change-id",
            metaVar = "ID",
            usage = "id of the change; default: derived from file, author and reason")
    private String changeId = "";

    @Option(name = "--allow-empty", usage = "allow a model without a serving target")
    private boolean allowEmpty;

    @Option(name = "--wait", usage = "wait until every live host has the revision in force")
    private boolean waitForHosts;

    @Option(name = "--wait-seconds", metaVar = "N", usage = "maximum wait, in seconds")
    private int waitSeconds = 10;

    @Option(name = "--hosts", metaVar = "IP:PORT,...", usage = "admin addresses to query, instead of the host list")
    private String hosts = "";

    @Option(name = "--admin-port", metaVar = "N", usage = "admin port of the hosts in the host list")
    private int adminPort = HostStatusClient.DEFAULT_ADMIN_PORT;

    @Override
    public ExitCode run() {
        TableInput input = TableInput.read(file);
        if (input.printProblems()) {
            return ExitCode.BAD_INPUT;
        }
        try (PlatformConnection platform = new PlatformConnection(platformUrl)) {
            ApplyResult result = apply(platform, input);
            result.problems().forEach(System.err::println);
            result.conflicts()
                    .forEach(conflict -> AuditTrail.formatLines(conflict).forEach(System.err::println));
            System.out.println(describe(result));
            ExitCode code = exitCode(result);
            return code == ExitCode.SUCCESS && waitForHosts ? awaitInForce(platform, result.revision()) : code;
        }
    }

    private ApplyResult apply(PlatformConnection platform, TableInput input) {
        TableSnapshot base = PlatformConnection.await(
                platform.reader().readAtRevision(input.file().revision()));
        return PlatformConnection.await(platform.committer()
                .apply(
                        base,
                        input.file().snapshot(),
                        author,
                        reason,
                        changeId(input),
                        new TableValidator.Options(allowEmpty)));
    }

    /**
     * Returns the id given with {@code --change-id}, or else one derived from file, author and reason, so that a
     * repeated command does not apply the change twice.
     */
    private String changeId(TableInput input) {
        if (!changeId.isEmpty()) {
            return changeId;
        }
        String content = author + "\n" + reason + "\n" + input.text();
        return UUID.nameUUIDFromBytes(content.getBytes(StandardCharsets.UTF_8)).toString();
    }

    private ExitCode awaitInForce(PlatformConnection platform, long revision) {
        HostStatusClient statuses = HostStatusClient.of(platform, hosts, adminPort);
        return statuses.awaitRevision(revision, Duration.ofSeconds(waitSeconds)) ? ExitCode.SUCCESS : ExitCode.FAILED;
    }

    private static String describe(ApplyResult result) {
        return switch (result.status()) {
            case APPLIED -> "applied as revision " + result.revision();
            case ALREADY_APPLIED -> "already applied as revision " + result.revision();
            case UNCHANGED -> "no changes to revision " + result.revision();
            case CONFLICT -> "rejected: " + result.conflicts().size() + " rows conflict; the table was not changed";
            case REFUSED -> "rejected: " + result.problems().size() + " errors; the table was not changed";
        };
    }

    private static ExitCode exitCode(ApplyResult result) {
        return switch (result.status()) {
            case APPLIED, ALREADY_APPLIED, UNCHANGED -> ExitCode.SUCCESS;
            case CONFLICT -> ExitCode.CONFLICT;
            case REFUSED -> ExitCode.BAD_INPUT;
        };
    }
}
