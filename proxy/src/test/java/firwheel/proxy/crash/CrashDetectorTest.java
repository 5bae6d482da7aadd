package firwheel.proxy.crash;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import firwheel.proxy.crash.CrashDetector.End;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class CrashDetectorTest {
    private static final Target.Key TARGET = new Target.Key("i-1", 1);
    private static final Suspect REQUEST = suspect("request");

    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final List<Suspect> crashing = new ArrayList<>();
    private final CrashDetector detector = new CrashDetector(time, (request, target) -> crashing.add(request));

    private static Suspect suspect(String fingerprint) {
        return new Suspect(new RequestFingerprint(fingerprint), Set.of());
    }

    @Test
    void reportsNothingWhenConnectionsAreResetAndTheTargetGoesOn() {
        detector.onResponseLost(REQUEST, TARGET);

        assertThat(crashing).isEmpty();
    }

    @Test
    void reportsALostResponseAndTheEndOfTheTargetInEitherOrder() {
        Suspect later = suspect("later");
        detector.onResponseLost(REQUEST, TARGET);
        detector.onTargetEnded(TARGET, End.UNLISTED);
        detector.onResponseLost(later, TARGET);

        assertThat(crashing).containsExactly(REQUEST, later);
    }

    @Test
    void reportsAnAbandonedResponseOnlyWhenTheTargetWasStartedAgain() {
        detector.onResponseAbandoned(REQUEST, TARGET);
        detector.onTargetEnded(TARGET, End.UNLISTED);
        assertThat(crashing).isEmpty();

        detector.onTargetEnded(TARGET, End.RESTARTED);

        assertThat(crashing).containsExactly(REQUEST);
    }

    @Test
    void reportsAResponseAbandonedJustBeforeTheTargetRefusedConnections() {
        Suspect earlier = suspect("earlier");
        detector.onResponseAbandoned(earlier, TARGET);
        time.advance(Duration.ofSeconds(2));
        detector.onResponseAbandoned(REQUEST, TARGET);
        time.advance(Duration.ofMillis(500));

        detector.onTargetEnded(TARGET, End.OBSERVED);

        assertThat(crashing).containsExactly(REQUEST);
    }

    @Test
    void reportsNoResponseThatWasLostBeforeTheTargetAcceptedAConnection() {
        detector.onResponseLost(suspect("lost as another rank crashed"), TARGET);
        detector.onTargetListening(TARGET);
        detector.onResponseLost(REQUEST, TARGET);

        detector.onTargetEnded(TARGET, End.OBSERVED);

        assertThat(crashing).containsExactly(REQUEST);
    }

    @Test
    void connectsNoLossWithTheEndOfTheTargetLongAfter() {
        detector.onResponseLost(REQUEST, TARGET);
        time.advance(Duration.ofMinutes(1));
        detector.onTargetEnded(TARGET, End.RESTARTED);

        assertThat(crashing).isEmpty();
    }
}
