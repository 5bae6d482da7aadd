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
            new Entry("demo", "Runs everything in one process, with stand-ins.", DemoCommand::new),
            new Entry("stand-in", "Runs a stand-in: platform, engine or service.", StandInCommand::new),
            new Entry("load", "Offers load to entries and checks every answer.", LoadCommand::new),
            new Entry("bench", "Measures slopes and writes the capacity tables.", BenchCommand::new),
            new Entry("version", "Prints the version.", VersionCommand::new));

    private Commands() {}

    static Optional<Entry> find(String name) {
        return ALL.stream().filter(entry -> entry.name().equals(name)).findFirst();
    }
}
