package firwheel.cli;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Registry of all subcommands. */
final class Commands {
    /**
     * A registered subcommand.
     *
     * @param name one or two words that select the subcommand on the command line
     * @param summary one-line description for the help
     * @param factory creates an instance with default options
     */
    record Subcommand(String name, String summary, Supplier<Command> factory) {}

    static final List<Subcommand> ALL = List.of(
            new Subcommand("entry", "Runs an entry.", EntryCommand::new),
            new Subcommand("agent", "Runs an agent beside a target.", AgentCommand::new),
            new Subcommand("platform-entry", "Runs an entry on the users' platform.", PlatformEntryCommand::new),
            new Subcommand(
                    "platform-agent", "Runs an agent beside a rank on the users' platform.", PlatformAgentCommand::new),
            new Subcommand(
                    "warm-up",
                    "Loads the classes of the platform's processes, for a class-data sharing archive.",
                    WarmUpCommand::new),
            new Subcommand("table export", "Prints the table as CSV.", TableExportCommand::new),
            new Subcommand("table check", "Checks a table file.", TableCheckCommand::new),
            new Subcommand("table diff", "Shows what a table file would change.", TableDiffCommand::new),
            new Subcommand("table apply", "Applies a table file.", TableApplyCommand::new),
            new Subcommand("audit", "Shows who changed what, when and why.", AuditCommand::new),
            new Subcommand("status", "Shows the revision that each host has in force.", StatusCommand::new),
            new Subcommand("demo", "Runs a whole deployment in one process, with stand-ins.", DemoCommand::new),
            new Subcommand("stand-in", "Runs a stand-in for a platform, engine or service.", StandInCommand::new),
            new Subcommand("check-settings", "Checks a settings file.", CheckSettingsCommand::new),
            new Subcommand("load", "Generates load on entries and verifies every response.", LoadCommand::new),
            new Subcommand("explain", "Prints the timeline of a request from log files.", ExplainCommand::new),
            new Subcommand("bench", "Measures cost slopes or prints the capacity tables.", BenchCommand::new),
            new Subcommand("experiment", "Compares decisions on emulated days.", ExperimentCommand::new),
            new Subcommand("version", "Prints the version.", VersionCommand::new));

    private Commands() {}

    static Optional<Subcommand> find(String name) {
        return ALL.stream().filter(entry -> entry.name().equals(name)).findFirst();
    }
}
