package firwheel.cli;

/** One subcommand. Its options are args4j fields. */
interface Command {
    /** Runs the command and returns its exit code. Failures are thrown as numbered failures. */
    ExitCode run();
}
