package firwheel.proxy.crash;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import firwheel.proxy.crash.PartLedger.Verdict;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PartLedgerTest {
    private static final Duration LONGEST_TRIAL_DELAY = Duration.ofMinutes(6);

    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final PartLedger ledger = new PartLedger(time);

    private static Set<PromptPart> parts(String... ids) {
        return Arrays.stream(ids).map(id -> new PromptPart("svc", id)).collect(Collectors.toSet());
    }

    private static Target.Key target(int number) {
        return new Target.Key("i-" + number, 1);
    }

    private static Suspect suspect(String request, String... ids) {
        return new Suspect(new RequestFingerprint(request), parts(ids));
    }

    private List<PartReport> crash(int target, String request, String... ids) {
        return ledger.recordCrash(suspect(request, ids), target(target));
    }

    private Verdict judge(String... ids) {
        return ledger.judge(parts(ids));
    }

    @Nested
    final class Verdicts {
        @Test
        void refuseAPartUnderWhichTwoRequestsCrashedTargets() {
            crash(1, "r1", "shared-1", "bad");
            assertThat(judge("shared-1", "bad")).isEqualTo(Verdict.SUSPECTED);

            crash(2, "r2", "shared-2", "bad");

            assertThat(judge("bad")).isEqualTo(Verdict.REFUSED);
            assertThat(judge("shared-3", "bad")).isEqualTo(Verdict.REFUSED);
            assertThat(judge("shared-1")).isEqualTo(Verdict.SUSPECTED);
            assertThat(judge("shared-3")).isEqualTo(Verdict.UNSUSPECTED);
        }

        @Test
        void refuseOnlyRequestsWithAllPartsThatCannotBeDistinguished() {
            crash(1, "r1", "shared", "bad");
            crash(2, "r2", "shared", "bad");

            assertThat(judge("shared", "bad")).isEqualTo(Verdict.REFUSED);
            assertThat(judge("shared")).isEqualTo(Verdict.SUSPECTED);
            assertThat(judge("other", "bad")).isEqualTo(Verdict.SUSPECTED);

            ledger.clear(parts("shared"));

            assertThat(judge("shared")).isEqualTo(Verdict.UNSUSPECTED);
            assertThat(judge("other", "bad")).isEqualTo(Verdict.REFUSED);
        }

        @Test
        void spareAPartWhoseCrashesAreAllOfOneRequest() {
            crash(1, "deadly", "shared");
            crash(1, "beside", "shared");
            crash(2, "deadly", "shared");
            crash(3, "deadly", "shared");

            assertThat(judge("shared")).isEqualTo(Verdict.SUSPECTED);
        }

        @Test
        void spareAPartThatWasBesideTheCause() {
            crash(1, "r1", "bad");
            crash(1, "beside-1", "popular");
            crash(2, "r2", "bad");
            crash(2, "beside-2", "popular");
            crash(3, "r3", "bad");

            assertThat(judge("popular")).isEqualTo(Verdict.SUSPECTED);
            assertThat(judge("bad")).isEqualTo(Verdict.REFUSED);
        }

        @Test
        void spareAPartThatTargetsRespondedToBetweenTheCrashes() {
            crash(1, "r1", "popular");
            ledger.clear(parts("popular"));
            crash(2, "r2", "popular");

            assertThat(judge("popular")).isEqualTo(Verdict.SUSPECTED);
        }

        @Test
        void preferPartsThatNoTargetHadRespondedToBefore() {
            ledger.clear(parts("shared", "popular"));
            crash(1, "r1", "shared", "bad");
            crash(1, "beside-1", "popular");
            crash(2, "r2", "shared", "bad");
            crash(2, "beside-2", "popular");

            assertThat(judge("bad")).isEqualTo(Verdict.REFUSED);
            assertThat(judge("shared")).isEqualTo(Verdict.SUSPECTED);
            assertThat(judge("popular")).isEqualTo(Verdict.SUSPECTED);
        }

        @Test
        void refuseAPartThatTargetsHadRespondedToAfterThreeRequests() {
            ledger.clear(parts("now-bad"));
            crash(1, "r1", "now-bad");
            crash(2, "r2", "now-bad");
            assertThat(judge("now-bad")).isEqualTo(Verdict.SUSPECTED);

            crash(3, "r3", "now-bad");

            assertThat(judge("now-bad")).isEqualTo(Verdict.REFUSED);
        }

        @Test
        void holdForOneServiceOnly() {
            crash(1, "r1", "bad");
            crash(2, "r2", "bad");

            assertThat(ledger.judge(Set.of(new PromptPart("other", "bad")))).isEqualTo(Verdict.UNSUSPECTED);
        }

        @Test
        void explainTheCrashesOfARefusedPart() {
            crash(1, "r1", "bad");
            assertThat(ledger.explains(target(1))).isFalse();

            crash(2, "r2", "bad");

            assertThat(ledger.explains(target(1))).isTrue();
            assertThat(ledger.explains(target(3))).isFalse();
        }
    }

    @Nested
    final class Reports {
        @Test
        void leadToTheSameVerdictsInAnyOrderAndRepeated() {
            List<PartReport> reports = new ArrayList<>(crash(1, "r1", "shared", "bad"));
            reports.addAll(crash(2, "r2", "shared", "bad"));
            reports.addAll(ledger.clear(parts("shared")));
            reports.add(crash(3, "r3", "session").get(0).withFamiliarPart());
            reports.addAll(List.copyOf(reports));

            for (int seed = 0; seed < 50; seed++) {
                Collections.shuffle(reports, new Random(seed));
                PartLedger other = new PartLedger(time);
                reports.forEach(other::merge);

                assertThat(other.judge(parts("bad"))).as("seed %d", seed).isEqualTo(Verdict.REFUSED);
                assertThat(other.judge(parts("shared"))).as("seed %d", seed).isEqualTo(Verdict.UNSUSPECTED);
                assertThat(other.isFamiliar(new PromptPart("svc", "session")))
                        .as("seed %d", seed)
                        .isTrue();
            }
        }

        @Test
        void putRefusedPartsFirst() {
            for (int i = 0; i < 40; i++) {
                crash(9, "beside-" + i, "session-" + i);
            }
            crash(1, "r1", "bad");
            crash(2, "r2", "bad");

            assertThat(ledger.nextReports(2))
                    .allMatch(report -> report.part().id().equals("bad"));
        }

        @Test
        void ofNewCrashesReplaceThoseThatAPartWasClearedOf() {
            for (int i = 0; i < 20; i++) {
                crash(i, "r" + i, "popular");
                ledger.clear(parts("popular"));
            }
            crash(20, "r20", "popular");
            crash(21, "r21", "popular");
            crash(22, "r22", "popular");

            assertThat(judge("popular")).isEqualTo(Verdict.REFUSED);
        }

        @Test
        void areBoundedByRemovingTheWeakestEvidence() {
            crash(1, "r1", "bad");
            crash(2, "r2", "bad");
            for (int i = 0; i < 5_000; i++) {
                crash(9, "beside-" + i, "session-" + i);
            }

            assertThat(ledger.size()).isEqualTo(1_024);
            assertThat(judge("bad")).isEqualTo(Verdict.REFUSED);
        }
    }

    @Nested
    final class Trials {
        @Test
        void areFarApartAndEndAfterTheFourthRequest() {
            crash(1, "r1", "bad");
            crash(2, "r2", "bad");
            assertThat(ledger.tryBeginTrial(parts("bad"))).isFalse();

            for (int request = 3; request <= 4; request++) {
                time.advance(LONGEST_TRIAL_DELAY);
                assertThat(ledger.tryBeginTrial(parts("bad")))
                        .as("request %d", request)
                        .isTrue();
                assertThat(ledger.tryBeginTrial(parts("bad")))
                        .as("request %d", request)
                        .isFalse();
                crash(request, "r" + request, "bad");
            }

            time.advance(LONGEST_TRIAL_DELAY);
            assertThat(ledger.tryBeginTrial(parts("bad"))).isFalse();
        }

        @Test
        void areDueAfterTheSameTimeForPartsThatTargetsHadRespondedTo() {
            ledger.clear(parts("now-bad"));
            crash(1, "r1", "now-bad");
            crash(2, "r2", "now-bad");
            crash(3, "r3", "now-bad");

            time.advance(Duration.ofSeconds(31));

            assertThat(ledger.tryBeginTrial(parts("now-bad"))).isTrue();
        }

        @Test
        void endTheRefusalWhenATargetResponds() {
            crash(1, "r1", "sound");
            crash(2, "r2", "sound");
            assertThat(judge("sound")).isEqualTo(Verdict.REFUSED);

            ledger.clear(parts("sound"));

            assertThat(judge("sound")).isEqualTo(Verdict.UNSUSPECTED);
        }
    }

    @Nested
    final class Expiry {
        @Test
        void removesSuspectedPartsAnHourAfterTheyWereLastSeen() {
            crash(1, "r1", "bad");
            time.advance(Duration.ofMinutes(59));
            ledger.recordSeen(parts("bad"));
            time.advance(Duration.ofMinutes(59));
            assertThat(ledger.removeExpired()).isEmpty();

            time.advance(Duration.ofMinutes(2));

            assertThat(ledger.removeExpired()).containsExactlyElementsOf(parts("bad"));
            assertThat(ledger.isEmpty()).isTrue();
        }
    }
}
