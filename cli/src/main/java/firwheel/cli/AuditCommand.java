package firwheel.cli;

import firwheel.table.AuditRecord;
import firwheel.table.AuditTrail;
import firwheel.table.OrderAuditLog;
import firwheel.table.OrderRecord;
import java.time.Instant;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Prints the audit records of table changes, with author, time, reason and fields, or of controllers' orders. */
final class AuditCommand implements Command {
    @Option(name = "--platform", metaVar = "URL", required = true, usage = "address of the platform")
    private String platformUrl = "";

    @Option(name = "--since", metaVar = "REVISION", usage = "show changes after this revision")
    private long since;

    @Option(name = "--row", metaVar = "NAME", usage = "show changes of this row only")
    private String row = "";

    @Option(name = "--orders", usage = "show orders of controllers instead of table changes")
    private boolean orders;

    @Override
    public ExitCode run() {
        try (PlatformConnection platform = new PlatformConnection(platformUrl)) {
            if (orders) {
                List<OrderRecord> records = PlatformConnection.await(new OrderAuditLog(platform.service()).read(""));
                records.forEach(AuditCommand::print);
            } else {
                List<AuditRecord> records = PlatformConnection.await(AuditTrail.readChanges(platform.service(), since));
                records.stream().filter(this::matchesRow).forEach(record -> AuditTrail.formatLines(record)
                        .forEach(System.out::println));
            }
            return ExitCode.SUCCESS;
        }
    }

    private boolean matchesRow(AuditRecord record) {
        return row.isEmpty()
                || record.changes().stream().anyMatch(change -> change.name().equals(row));
    }

    private static void print(OrderRecord record) {
        System.out.println("zone " + record.availabilityZone() + " at " + Instant.ofEpochMilli(record.atMillis())
                + " by " + record.holderId() + ", fencing number " + record.fencingNumber() + ": " + record.reason());
        record.orders().forEach(order -> System.out.println("  " + order));
    }
}
