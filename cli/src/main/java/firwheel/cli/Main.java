package firwheel.cli;

/** Entry point of the firwheel binary. */
public final class Main {
    private Main() {}

    /** Runs the subcommand that the arguments name. */
    public static void main(String[] args) {
        System.out.println("firwheel");
    }
}
