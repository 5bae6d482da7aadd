package firwheel.cli;

/** A subcommand. Its options are fields with args4j annotations. */
interface Command {
    /** Runs the command and returns its exit code. Failures are thrown as {@code FirwheelException}. */
    ExitCode run();
}
