package firwheel.cli;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import java.net.BindException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Subcommand point of the firwheel binary. */
public final class Main {
    private static final int USAGE_WIDTH = 100;

    private Main() {}

    /** Runs the subcommand that the arguments name and exits with its code. */
    public static void main(String[] args) {
        System.exit(run(args).number());
    }

    /** Runs the subcommand that the arguments name. */
    static ExitCode run(String[] args) {
        if (args.length == 0 || args[0].equals("--help") || args[0].equals("help")) {
            printOverview();
            return args.length == 0 ? ExitCode.BAD_INPUT : ExitCode.SUCCESS;
        }
        int wordCount =
                args.length > 1 && Commands.find(args[0] + " " + args[1]).isPresent() ? 2 : 1;
        Optional<Commands.Subcommand> subcommand = Commands.find(String.join(" ", Arrays.copyOf(args, wordCount)));
        if (subcommand.isEmpty()) {
            System.err.println("FW-9002 unknown command " + args[0] + "; see firwheel --help");
            return ExitCode.BAD_INPUT;
        }
        return run(subcommand.get(), Arrays.copyOfRange(args, wordCount, args.length));
    }

    private static ExitCode run(Commands.Subcommand subcommand, String[] options) {
        Command command = subcommand.factory().get();
        CmdLineParser parser =
                new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH));
        if (Arrays.asList(options).contains("--help")) {
            System.out.println("firwheel " + subcommand.name() + ": " + subcommand.summary());
            parser.printUsage(System.out);
            return ExitCode.SUCCESS;
        }
        try {
            parser.parseArgument(options);
            return command.run();
        } catch (CmdLineException e) {
            System.err.println("FW-9002 " + e.getMessage() + "; see firwheel " + subcommand.name() + " --help");
            return ExitCode.BAD_INPUT;
        } catch (FirwheelException | CompletionException e) {
            FirwheelException failure = failure(e);
            System.err.println(failure.messageWithRemedy());
            return ExitCode.of(failure.code());
        }
    }

    private static FirwheelException failure(RuntimeException error) {
        if (error.getCause() instanceof BindException cause) {
            return new FirwheelException(ResultCode.CANNOT_LISTEN, cause.getMessage() + ".", Duration.ZERO, cause);
        }
        return FirwheelException.of(error);
    }

    private static void printOverview() {
        System.out.println("firwheel COMMAND [options]; firwheel COMMAND --help lists the options");
        Commands.ALL.forEach(entry -> System.out.printf("  %-14s %s%n", entry.name(), entry.summary()));
    }
}
