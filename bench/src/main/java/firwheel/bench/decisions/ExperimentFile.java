package firwheel.bench.decisions;

import firwheel.bench.decisions.EmulatedDay.Fault;
import firwheel.bench.decisions.EmulatedDay.Kind;
import firwheel.bench.feeds.FeedSimulation;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import firwheel.proxy.balance.RetryAfterPolicy.Reason;
import firwheel.proxy.balance.RetryAfterPolicy.Spread;
import firwheel.proxy.balance.WaitPolicy;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/**
 * An experiment as its file describes it.
 *
 * @param seeds seeds with which each day is played
 * @param engine engine of the emulated group, or null if no day is played
 * @param variants variants to compare
 * @param days days to play
 * @param feeds simulations of feeds to run
 */
public record ExperimentFile(
        List<Integer> seeds,
        @Nullable EngineTimes engine,
        List<Variant> variants,
        List<EmulatedDay> days,
        List<Feeds> feeds) {
    /**
     * Simulations of entries that keep up with the store, each with all faults and policies.
     *
     * @param entries numbers of entries
     * @param rounds faults in each simulation
     */
    public record Feeds(List<Integer> entries, int rounds) {}

    public ExperimentFile {
        seeds = List.copyOf(seeds);
        variants = List.copyOf(variants);
        days = List.copyOf(days);
        feeds = List.copyOf(feeds);
    }

    /** Reads a file; fails with {@code FW-9002} and the file, line and key of the first mistake. */
    public static ExperimentFile read(Path file) {
        TomlParseResult parsed;
        try {
            parsed = Toml.parse(file);
        } catch (IOException e) {
            throw new FirwheelException(
                    ResultCode.BAD_USAGE, "cannot read " + file + ": " + e.getMessage(), Duration.ZERO, e);
        }
        for (TomlParseError error : parsed.errors()) {
            throw new FirwheelException(
                    ResultCode.BAD_USAGE, file + ":" + error.position().line() + ": " + error.getMessage());
        }
        TomlSection root = new TomlSection(file.toString(), "", 1, parsed);
        ExperimentFile experiment = new ExperimentFile(
                root.integers("seeds"),
                root.has("engine") ? engine(root.section("engine")) : null,
                root.sections("variant").stream().map(ExperimentFile::variant).toList(),
                root.sections("day").stream().map(ExperimentFile::day).toList(),
                root.sections("feeds").stream().map(ExperimentFile::feeds).toList());
        root.requireAllRead();
        if (!experiment.days().isEmpty()
                && (experiment.engine() == null || experiment.variants().isEmpty())) {
            throw root.invalid("day", "needs an engine and at least one variant");
        }
        return experiment;
    }

    private static EngineTimes engine(TomlSection section) {
        EngineTimes engine = new EngineTimes(
                section.integer("slots"),
                section.integer("queue"),
                section.integer("steps-per-pass"),
                section.number("step-millis"),
                section.number("millis-per-sequence"),
                section.number("prompt-tokens-per-milli"),
                section.integer("prompt-tokens-per-step"),
                section.number("expert-share"),
                section.seconds("stall-seconds"),
                section.seconds("form-seconds"));
        section.requireAllRead();
        return engine;
    }

    private static Variant variant(TomlSection section) {
        WaitPolicy waits = Variant.WAIT_POLICIES.get(section.text("wait"));
        if (waits == null) {
            throw section.invalid("wait", "must be one of " + Variant.WAIT_POLICIES.keySet());
        }
        Map<Reason, Spread> returns = new EnumMap<>(Reason.class);
        for (TomlSection spread : section.sections("return")) {
            returns.put(
                    spread.constant("reason", Reason.class),
                    new Spread(spread.number("min-share"), spread.number("max-share")));
            spread.requireAllRead();
        }
        Variant variant = new Variant(section.text("name"), waits, returns);
        section.requireAllRead();
        return variant;
    }

    private static EmulatedDay day(TomlSection section) {
        List<Fault> faults = new ArrayList<>();
        for (TomlSection fault : section.sections("fault")) {
            faults.add(new Fault(
                    fault.constant("kind", Kind.class),
                    fault.seconds("at-seconds"),
                    fault.has("length-seconds") ? fault.seconds("length-seconds") : Duration.ZERO,
                    fault.has("strength") ? fault.number("strength") : 0));
            fault.requireAllRead();
        }
        EmulatedDay day = new EmulatedDay(
                section.text("name"),
                section.integer("zones"),
                section.integer("ranks"),
                section.integer("entries"),
                section.seconds("length-seconds"),
                section.number("requests-per-second"),
                section.number("prompt-tokens"),
                section.number("events"),
                section.seconds("objective-seconds"),
                section.seconds("pause-objective-seconds"),
                section.seconds("deadline-seconds"),
                section.seconds("patience-seconds"),
                section.integer("retries"),
                section.number("imbalance"),
                section.number("first-imbalance"),
                section.seconds("map-seconds"),
                faults);
        section.requireAllRead();
        return day;
    }

    private static Feeds feeds(TomlSection section) {
        Feeds feeds = new Feeds(section.integers("entries"), section.integer("rounds"));
        section.requireAllRead();
        return feeds;
    }

    /** Returns the number of runs, for the progress shown. */
    public int runs() {
        int dayRuns = variants.size() * days.size() * seeds.size();
        int feedRuns = feeds.stream()
                        .mapToInt(simulation -> simulation.entries().size())
                        .sum()
                * FeedSimulation.Fault.values().length;
        return dayRuns + feedRuns;
    }
}
