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
    record Subcommand(String name, String summary, Supplier<Command> create) {}

    static final List<Subcommand> ALL = List.of(
            new Subcommand("entry", "Runs an entry.", EntryCommand::new),
            new Subcommand("agent", "Runs an agent beside a target.", AgentCommand::new),
            new Subcommand("platform-entry", "Runs an entry on the users' platform.", PlatformEntryCommand::new),
            new Subcommand(
                    "platform-agent", "Runs an agent beside a rank on the users' platform.", PlatformAgentCommand::new),
            new Subcommand(
                    "warm-up",
                    "Loads the classes of the platform's processes, for a class-data archive.",
                    WarmUpCommand::new),
            new Subcommand("table export", "Prints the table as CSV.", TableExportCommand::new),
            new Subcommand("table check", "Checks a table file.", TableCheckCommand::new),
            new Subcommand("table diff", "Shows what a table file would change.", TableDiffCommand::new),
            new Subcommand("table apply", "Applies a table file.", TableApplyCommand::new),
            new Subcommand("audit", "Shows who changed what, when and why.", AuditCommand::new),
            new Subcommand("status", "Shows the revision that each host has in force.", StatusCommand::new),
            new Subcommand("demo", "Runs everything in one process, with stand-ins.", DemoCommand::new),
            new Subcommand("stand-in", "Runs a stand-in: platform, engine or service.", StandInCommand::new),
            new Subcommand("check-settings", "Checks a settings file.", CheckSettingsCommand::new),
            new Subcommand("load", "Offers load to entries and checks every answer.", LoadCommand::new),
            new Subcommand("explain", "Prints the story of a request from logs.", ExplainCommand::new),
            new Subcommand("bench", "Measures slopes and writes the capacity tables.", BenchCommand::new),
            new Subcommand("version", "Prints the version.", VersionCommand::new));

    private Commands() {}

    static Optional<Subcommand> find(String name) {
        return ALL.stream().filter(entry -> entry.name().equals(name)).findFirst();
    }
}
