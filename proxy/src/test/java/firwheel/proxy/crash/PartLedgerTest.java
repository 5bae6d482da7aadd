package firwheel.proxy.crash;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import firwheel.proxy.crash.PartLedger.Verdict;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class PartLedgerTest {
    private static final Duration LONGEST_TRIAL_DELAY = Duration.ofMinutes(6);

    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final PartLedger ledger = new PartLedger(time);

    private static Set<PromptPart> parts(String ids) {
        return Stream.of(ids.split("\\+", -1))
                .map(id -> new PromptPart("svc", id))
                .collect(Collectors.toSet());
    }

    /** Plays events: {@code TARGET:REQUEST:PART+PART} is a crash, {@code ok:PART+PART} a response. */
    private List<PartReport> play(String events) {
        List<PartReport> reports = new ArrayList<>();
        for (String event : events.split(" ", -1)) {
            String[] fields = event.split(":", -1);
            reports.addAll(
                    fields[0].equals("ok")
                            ? ledger.clear(parts(fields[1]))
                            : ledger.recordCrash(
                                    new Suspect(new RequestFingerprint(fields[1]), parts(fields[2])),
                                    new Target.Key(fields[0], 1)));
        }
        return reports;
    }

    @ParameterizedTest(name = "{0}: {2} is {3}")
    @CsvSource({
        "one crash, 1:r1:shared+bad, shared+bad, SUSPECTED",
        "two requests, 1:r1:s1+bad 2:r2:s2+bad, bad, REFUSED",
        "two requests, 1:r1:s1+bad 2:r2:s2+bad, s3+bad, REFUSED",
        "two requests, 1:r1:s1+bad 2:r2:s2+bad, s1, SUSPECTED",
        "two requests, 1:r1:s1+bad 2:r2:s2+bad, s3, UNSUSPECTED",
        "two requests at one crash, 1:r1:bad 1:r2:bad, bad, SUSPECTED",
        "parts that occur together, 1:r1:s+bad 2:r2:s+bad, s+bad, REFUSED",
        "parts that occur together, 1:r1:s+bad 2:r2:s+bad, s, SUSPECTED",
        "parts that occur together, 1:r1:s+bad 2:r2:s+bad, other+bad, SUSPECTED",
        "one of them cleared, 1:r1:s+bad 2:r2:s+bad ok:s, s, UNSUSPECTED",
        "one of them cleared, 1:r1:s+bad 2:r2:s+bad ok:s, other+bad, REFUSED",
        "one request again and again, 1:deadly:s 1:beside:s 2:deadly:s 3:deadly:s, s, SUSPECTED",
        "beside the cause, 1:r1:bad 1:b1:popular 2:r2:bad 2:b2:popular 3:r3:bad, popular, SUSPECTED",
        "beside the cause, 1:r1:bad 1:b1:popular 2:r2:bad 2:b2:popular 3:r3:bad, bad, REFUSED",
        "response between the crashes, 1:r1:popular ok:popular 2:r2:popular, popular, SUSPECTED",
        "familiar beside the cause, ok:s+popular 1:r1:s+bad 1:b1:popular 2:r2:s+bad 2:b2:popular, bad, REFUSED",
        "familiar beside the cause, ok:s+popular 1:r1:s+bad 1:b1:popular 2:r2:s+bad 2:b2:popular, s, SUSPECTED",
        "familiar beside the cause, ok:s+popular 1:r1:s+bad 1:b1:popular 2:r2:s+bad 2:b2:popular, popular, SUSPECTED",
        "familiar cause, ok:bad 1:r1:bad 2:r2:bad, bad, SUSPECTED",
        "familiar cause, ok:bad 1:r1:bad 2:r2:bad 3:r3:bad, bad, REFUSED",
        "familiar since it was cleared, 1:r1:bad ok:bad 2:r2:bad 3:r3:bad, bad, SUSPECTED"
    })
    void judgesByTheEvidence(String name, String events, String judged, Verdict verdict) {
        play(events);

        assertThat(ledger.judge(parts(judged))).as(name).isEqualTo(verdict);
    }

    @Test
    void holdsEvidenceForOneServiceOnly() {
        play("1:r1:bad 2:r2:bad");

        assertThat(ledger.judge(Set.of(new PromptPart("other", "bad")))).isEqualTo(Verdict.UNSUSPECTED);
    }

    @Test
    void explainsTheCrashesOfARefusedPart() {
        play("1:r1:bad");
        assertThat(ledger.explains(new Target.Key("1", 1))).isFalse();

        play("2:r2:bad");

        assertThat(ledger.explains(new Target.Key("1", 1))).isTrue();
        assertThat(ledger.explains(new Target.Key("3", 1))).isFalse();
    }

    @Nested
    final class Reports {
        @Test
        void leadToTheSameVerdictsInAnyOrderAndRepeated() {
            List<PartReport> reports = play("ok:seen 1:r1:shared+bad 2:r2:shared+bad ok:shared 3:r3:seen");
            reports.addAll(List.copyOf(reports));

            for (int seed = 0; seed < 50; seed++) {
                Collections.shuffle(reports, new Random(seed));
                PartLedger other = new PartLedger(time);
                reports.forEach(other::merge);

                assertThat(other.judge(parts("bad"))).as("seed %d", seed).isEqualTo(Verdict.REFUSED);
                assertThat(other.judge(parts("shared"))).as("seed %d", seed).isEqualTo(Verdict.UNSUSPECTED);
                assertThat(other.isFamiliar(new PromptPart("svc", "seen")))
                        .as("seed %d", seed)
                        .isTrue();
            }
        }

        @Test
        void areAllRepeatedInTurnHalfOfThemOfPartsWithSeveralRequests() {
            for (int i = 0; i < 40; i++) {
                play("9:beside-" + i + ":session-" + i);
            }
            play("1:r1:bad 2:r2:bad 1:r1:worse 2:r2:worse");
            Set<PartReport> repeated = new HashSet<>();

            for (int i = 0; i < 20; i++) {
                List<PartReport> reports = ledger.nextReports(4);
                repeated.addAll(reports);
                assertThat(reports.subList(0, 2))
                        .map(report -> report.part().id())
                        .containsExactlyInAnyOrder("bad", "worse");
            }

            assertThat(repeated).hasSize(40 + 4);
        }

        @Test
        void ofNewCrashesReplaceThoseThatAPartWasClearedOf() {
            for (int i = 0; i < 20; i++) {
                play(i + ":r" + i + ":popular ok:popular");
            }

            play("20:r20:popular 21:r21:popular 22:r22:popular");

            assertThat(ledger.judge(parts("popular"))).isEqualTo(Verdict.REFUSED);
        }

        @Test
        void areBoundedByRemovingTheWeakestEvidence() {
            play("1:r1:bad 2:r2:bad");
            for (int i = 0; i < 5_000; i++) {
                play("9:beside-" + i + ":session-" + i);
            }

            assertThat(ledger.size()).isEqualTo(1_024);
            assertThat(ledger.judge(parts("bad"))).isEqualTo(Verdict.REFUSED);
        }
    }

    @ParameterizedTest
    @CsvSource({"1:r1:bad 2:r2:bad, 3", "ok:bad 1:r1:bad 2:r2:bad 3:r3:bad, 4"})
    void triesARefusedPartTwiceAtMostAndFarApart(String events, int nextTarget) {
        play(events);
        assertThat(ledger.tryBeginTrial(parts("bad"))).isFalse();
        time.advance(Duration.ofSeconds(31));

        for (int target = nextTarget; target < nextTarget + 2; target++) {
            assertThat(ledger.tryBeginTrial(parts("bad")))
                    .as("target %d", target)
                    .isTrue();
            assertThat(ledger.tryBeginTrial(parts("bad")))
                    .as("target %d", target)
                    .isFalse();
            play(target + ":r" + target + ":bad");
            time.advance(LONGEST_TRIAL_DELAY);
        }

        assertThat(ledger.tryBeginTrial(parts("bad"))).isFalse();
    }

    @Test
    void forgetsSuspectedPartsAnHourAfterTheyWereLastSeen() {
        play("1:r1:bad");
        time.advance(Duration.ofMinutes(59));
        ledger.recordSeen(parts("bad"));
        time.advance(Duration.ofMinutes(59));
        assertThat(ledger.removeExpired()).isEmpty();

        time.advance(Duration.ofMinutes(2));

        assertThat(ledger.removeExpired()).containsExactlyElementsOf(parts("bad"));
        assertThat(ledger.isEmpty()).isTrue();
    }

    /** Guards against suspicion without an end, which an entry raises that loses its link to all targets. */
    @Nested
    final class SurvivedCrashes {
        private static final int RANKS = 12;

        private void suspectOfCrashesOfAllRanks() {
            for (int i = 0; i < RANKS; i++) {
                play(i + ":r" + i + ":shared");
            }
            assertThat(ledger.judge(parts("shared"))).isEqualTo(Verdict.REFUSED);
        }

        @Test
        void doNotCountWhateverTheirNumber() {
            suspectOfCrashesOfAllRanks();
            time.advance(Duration.ofSeconds(5));

            assertThat(ledger.removeSurvived((target, age) -> age.toSeconds() >= 5))
                    .isNotEmpty();

            assertThat(ledger.judge(parts("shared"))).isEqualTo(Verdict.UNSUSPECTED);
            assertThat(ledger.isEmpty()).isTrue();
            assertThat(ledger.nextReports(4)).isEmpty();
        }

        @Test
        void leaveTheOthersInForce() {
            suspectOfCrashesOfAllRanks();
            time.advance(Duration.ofSeconds(5));
            play("0:r20:shared");

            ledger.removeSurvived((target, age) -> age.toSeconds() >= 5);

            assertThat(ledger.crashes(new PromptPart("svc", "shared"))).isEqualTo(1);
        }

        /** Reports travel from entry to entry; one that is repeated must not make a crash a later one. */
        @Test
        void keepTheirAgeInReports() {
            suspectOfCrashesOfAllRanks();
            time.advance(Duration.ofSeconds(3));
            List<PartReport> reports = ledger.nextReports(4);
            assertThat(reports).extracting(PartReport::crashAge).containsOnly(Duration.ofSeconds(3));
            time.advance(Duration.ofSeconds(1));

            reports.forEach(ledger::merge);

            assertThat(ledger.nextReports(4)).extracting(PartReport::crashAge).containsOnly(Duration.ofSeconds(4));
        }
    }
}
