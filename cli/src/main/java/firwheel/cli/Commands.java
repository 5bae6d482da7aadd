package firwheel.cli;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** The list of all subcommands. */
final class Commands {
    /**
     * One registered subcommand.
     *
     * @param name words that call it
     * @param summary one line for the overview
     * @param create makes a fresh instance with default options
     */
    record Entry(String name, String summary, Supplier<Command> create) {}

    static final List<Entry> ALL = List.of(
            new Entry("entry", "Runs an entry.", EntryCommand::new),
            new Entry("agent", "Runs an agent beside a target.", AgentCommand::new),
            new Entry("platform-entry", "Runs an entry on the users' platform.", PlatformEntryCommand::new),
            new Entry(
                    "platform-agent", "Runs an agent beside a rank on the users' platform.", PlatformAgentCommand::new),
            new Entry(
                    "warm-up",
                    "Loads the classes of the platform's processes, for a class-data archive.",
                    WarmUpCommand::new),
            new Entry("table export", "Prints the table as CSV.", TableExportCommand::new),
            new Entry("table check", "Checks a table file.", TableCheckCommand::new),
            new Entry("table diff", "Shows what a table file would change.", TableDiffCommand::new),
            new Entry("table apply", "Applies a table file.", TableApplyCommand::new),
            new Entry("audit", "Shows who changed what, when and why.", AuditCommand::new),
            new Entry("status", "Shows the revision that each host has in force.", StatusCommand::new),
            new Entry("demo", "Runs everything in one process, with stand-ins.", DemoCommand::new),
            new Entry("stand-in", "Runs a stand-in: platform, engine or service.", StandInCommand::new),
            new Entry("check-settings", "Checks a settings file.", CheckSettingsCommand::new),
            new Entry("load", "Offers load to entries and checks every answer.", LoadCommand::new),
            new Entry("explain", "Prints the story of a request from logs.", ExplainCommand::new),
            new Entry("bench", "Measures slopes and writes the capacity tables.", BenchCommand::new),
            new Entry("version", "Prints the version.", VersionCommand::new));

    private Commands() {}

    static Optional<Entry> find(String name) {
        return ALL.stream().filter(entry -> entry.name().equals(name)).findFirst();
    }
}
