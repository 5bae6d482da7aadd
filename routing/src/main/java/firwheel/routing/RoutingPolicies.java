package firwheel.routing;

import java.util.List;
import java.util.function.Function;

/** The one list of routing policies. */
public enum RoutingPolicies {
    /** Ranks in turn. */
    ROUND_ROBIN(random -> new PickerPolicy(new RoundRobinPicker(random))),
    /** A rank at random. */
    RANDOM(random -> new PickerPolicy(new RandomPicker(random))),
    /** The less loaded of two drawn at random. */
    TWO_CHOICES(random -> new PickerPolicy(new PowerOfTwoChoicesPicker(random))),
    /** The least loaded in the newest reports. */
    LEAST_LOADED(random -> new PickerPolicy(new LeastLoadedPicker(random))),
    /** The prefix's place on the ring, whatever its load. */
    PURE_AFFINITY(random -> new PickerPolicy(new AffinityPicker(random))),
    /** Estimated outstanding tokens with prefix affinity; the one in use. */
    TOKEN_AWARE(random -> new TokenAwarePolicy(TokenAwareSettings.DEFAULTS, random));

    @SuppressWarnings("ImmutableEnumChecker") // the lambdas above hold no state
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
