package firwheel.routing;

import java.util.List;
import java.util.function.Function;

/** All routing policies. */
public enum RoutingPolicies {
    /** Each rank in turn. */
    ROUND_ROBIN(random -> new PickerPolicy(new RoundRobinPicker(random))),
    /** A random rank. */
    RANDOM(random -> new PickerPolicy(new RandomPicker(random))),
    /** The less loaded of two random ranks. */
    TWO_CHOICES(random -> new PickerPolicy(new PowerOfTwoChoicesPicker(random))),
    /** The least loaded rank in the latest reports. */
    LEAST_LOADED(random -> new PickerPolicy(new LeastLoadedPicker(random))),
    /** The rank at the prefix's position on the consistent-hash ring, regardless of load. */
    PURE_AFFINITY(random -> new PickerPolicy(new AffinityPicker(random))),
    /** Estimated outstanding tokens with prefix affinity; used in production. */
    TOKEN_AWARE(random -> new TokenAwarePolicy(TokenAwareSettings.DEFAULTS, random));

    @SuppressWarnings("ImmutableEnumChecker") // the lambdas above are stateless
    private final Function<RandomSource, RoutingPolicy> factory;

    RoutingPolicies(Function<RandomSource, RoutingPolicy> factory) {
        this.factory = factory;
    }

    /** Returns a new policy with its own state. */
    public RoutingPolicy create(RandomSource random) {
        return factory.apply(random);
    }

    /** Returns all policies in order. */
    public static List<RoutingPolicies> all() {
        return List.of(values());
    }
}
