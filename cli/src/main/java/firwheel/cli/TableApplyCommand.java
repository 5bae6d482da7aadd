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
    @Argument(metaVar = "FILE", required = true, usage = "table in CSV, edited from an export")
    private File file = new File("");

    @Option(name = "--platform", metaVar = "URL", required = true, usage = "address of the platform")
    private String platformUrl = "";

    @Option(name = "--author", metaVar = "NAME", required = true, usage = "who makes the change")
    private String author = "";

    @Option(name = "--reason", metaVar = "TEXT", required = true, usage = "why the change is made")
    private String reason = "";

    @Option(name = "--change-id", metaVar = "ID", usage = "id of the change; made from file, author and reason")
    private String changeId = "";

    @Option(name = "--allow-empty", usage = "allow a model to be left with no serving target")
    private boolean allowEmpty;

    @Option(name = "--wait", usage = "return when every live host has the revision in force")
    private boolean waitForHosts;

    @Option(name = "--wait-seconds", metaVar = "N", usage = "longest wait")
    private int waitSeconds = 10;

    @Option(name = "--hosts", metaVar = "IP:PORT,...", usage = "admin addresses to ask, in place of the host list")
    private String hosts = "";

    @Option(name = "--admin-port", metaVar = "N", usage = "admin port of listed hosts")
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

    /** The same file applied again by the same author for the same reason is the same change. */
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
            case ALREADY_APPLIED -> "was already applied as revision " + result.revision();
            case UNCHANGED -> "nothing to change at revision " + result.revision();
            case CONFLICT -> "refused: " + result.conflicts().size() + " rows conflict; nothing was changed";
            case REFUSED -> "refused: " + result.problems().size() + " mistakes; nothing was changed";
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
