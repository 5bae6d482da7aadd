package firwheel.bench.decisions;

import firwheel.proxy.balance.RetryAfterPolicy.Reason;
import firwheel.proxy.balance.RetryAfterPolicy.Spread;
import firwheel.proxy.balance.WaitPolicy;
import java.util.Map;
import java.util.function.Function;

/**
 * A set of decisions to compare with others.
 *
 * @param name name for reports
 * @param waits which requests wait for a group
 * @param returns when refused callers are told to return, where this differs from what the reasons say
 */
public record Variant(String name, WaitPolicy waits, Map<Reason, Spread> returns) {
    /** Policies that a file can name. */
    public static final Map<String, WaitPolicy> WAIT_POLICIES = Map.of(
            "while-forming", WaitPolicy.whileForming(),
            "returned-callers", WaitPolicy.ofReturnedCallers(),
            "always", WaitPolicy.always());

    public Variant {
        returns = Map.copyOf(returns);
    }

    Function<Reason, Spread> spreads() {
        return reason -> returns.getOrDefault(reason, reason.spread());
    }
}
