package firwheel.proxy.crash;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import firwheel.proxy.crash.CrashLedger.Verdict;
import firwheel.proxy.targets.Target;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class CrashLedgerTest {
    private static final RequestFingerprint GUILTY = new RequestFingerprint("guilty");
    private static final RequestFingerprint SOUND = new RequestFingerprint("sound");
    private static final Duration LONGEST_TRIAL_DELAY = Duration.ofMinutes(6);

    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final CrashLedger ledger = new CrashLedger(time);

    private static Target.Key target(int number) {
        return new Target.Key("i-" + number, 1);
    }

    private void crash(RequestFingerprint request, int... targets) {
        for (int target : targets) {
            ledger.recordCrash(request, target(target));
        }
    }

    @Nested
    final class Verdicts {
        @Test
        void refuseARequestThatCrashedTwoTargetsAlone() {
            crash(GUILTY, 1);
            assertThat(ledger.judge(GUILTY)).isEqualTo(Verdict.SUSPECTED);

            crash(GUILTY, 2);

            assertThat(ledger.judge(GUILTY)).isEqualTo(Verdict.REFUSED);
        }

        @Test
        void spareARequestThatWasBesideTheGuiltyOneAtEveryCrash() {
            crash(GUILTY, 1, 2, 3);
            crash(SOUND, 2, 3);

            assertThat(ledger.judge(GUILTY)).isEqualTo(Verdict.REFUSED);
            assertThat(ledger.judge(SOUND)).isEqualTo(Verdict.SUSPECTED);
        }

        @Test
        void waitForAThirdCrashBetweenRequestsThatCannotBeDistinguished() {
            crash(GUILTY, 1, 2);
            crash(SOUND, 1, 2);
            assertThat(ledger.judge(GUILTY)).isEqualTo(Verdict.SUSPECTED);
            assertThat(ledger.judge(SOUND)).isEqualTo(Verdict.SUSPECTED);

            crash(GUILTY, 3);

            assertThat(ledger.judge(GUILTY)).isEqualTo(Verdict.REFUSED);
            assertThat(ledger.judge(SOUND)).isEqualTo(Verdict.SUSPECTED);
        }

        @Test
        void countOneCrashOnceWhoeverReportsIt() {
            crash(GUILTY, 1, 1);

            assertThat(ledger.crashes(GUILTY)).isEqualTo(1);
            assertThat(ledger.merge(new CrashReport(GUILTY, target(1), false, Duration.ZERO, Duration.ZERO)))
                    .isFalse();
        }

        /** Targets of two zones crash, each beside many requests, some of which were retried from the first zone. */
        @Test
        void spareRequestsRetriedFromOneCrashedZoneToAnother() {
            List<RequestFingerprint> requests = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                requests.add(new RequestFingerprint("request-" + i));
                crash(requests.get(i), i % 4, 4 + i % 2);
            }

            assertThat(requests).allMatch(request -> ledger.judge(request) == Verdict.SUSPECTED);
        }
    }

    @Nested
    final class CompleteResponses {
        @Test
        void clearARequestForGood() {
            crash(SOUND, 1, 2);

            List<CrashReport> clearing = ledger.clear(SOUND);

            assertThat(clearing).hasSize(2).allMatch(CrashReport::cleared);
            assertThat(ledger.judge(SOUND)).isEqualTo(Verdict.UNSUSPECTED);
            crash(SOUND, 1, 2);
            assertThat(ledger.judge(SOUND)).isEqualTo(Verdict.UNSUSPECTED);
        }
    }

    @Nested
    final class Merging {
        @Test
        void givesTheSameVerdictInAnyOrderAndWithRepeats() {
            List<CrashReport> reports = new ArrayList<>();
            for (int i = 1; i <= 3; i++) {
                reports.add(new CrashReport(GUILTY, target(i), false, Duration.ZERO, Duration.ZERO));
                reports.add(new CrashReport(SOUND, target(i), false, Duration.ZERO, Duration.ZERO));
                reports.add(new CrashReport(SOUND, target(i), true, Duration.ZERO, Duration.ZERO));
            }
            Random random = new Random(1);
            for (int round = 0; round < 50; round++) {
                CrashLedger other = new CrashLedger(time);
                Collections.shuffle(reports, random);
                reports.forEach(other::merge);
                reports.subList(0, 3).forEach(other::merge);

                assertThat(other.judge(GUILTY)).isEqualTo(Verdict.REFUSED);
                assertThat(other.judge(SOUND)).isEqualTo(Verdict.UNSUSPECTED);
            }
        }

        @Test
        void suppliesAnEntryThatHasJustStarted() {
            crash(GUILTY, 1, 2);
            for (int i = 3; i < 60; i++) {
                crash(new RequestFingerprint("other-" + i), i);
            }
            CrashLedger started = new CrashLedger(time);

            ledger.nextReports(6).forEach(started::merge);

            assertThat(started.judge(GUILTY)).isEqualTo(Verdict.REFUSED);
        }

        @Test
        void keepsNothingAliveThatNoEntrySees() {
            crash(GUILTY, 1, 2);
            CrashLedger peer = new CrashLedger(time);
            for (int minute = 0; minute < 130; minute++) {
                ledger.nextReports(6).forEach(peer::merge);
                peer.nextReports(6).forEach(ledger::merge);
                ledger.removeExpired();
                peer.removeExpired();
                time.advance(Duration.ofMinutes(1));
            }

            assertThat(ledger.isEmpty()).isTrue();
            assertThat(peer.isEmpty()).isTrue();
        }
    }

    @Nested
    final class Trials {
        @Test
        void ofARequestThatKeepsCrashingTargetsEndWithTheFourth() {
            crash(GUILTY, 1, 2);
            int trials = 0;
            for (int second = 0; second < 24 * 3_600; second++) {
                ledger.recordSeen(GUILTY);
                ledger.removeExpired();
                if (ledger.tryBeginTrial(GUILTY)) {
                    trials++;
                    crash(GUILTY, 2 + trials);
                }
                time.advance(Duration.ofSeconds(1));
            }

            assertThat(trials).isEqualTo(2);
            assertThat(ledger.judge(GUILTY)).isEqualTo(Verdict.REFUSED);
        }

        @Test
        void giveASoundRequestAnotherChance() {
            crash(SOUND, 1, 2, 3);
            assertThat(ledger.tryBeginTrial(SOUND)).isFalse();

            time.advance(LONGEST_TRIAL_DELAY);

            assertThat(ledger.tryBeginTrial(SOUND)).isTrue();
            assertThat(ledger.tryBeginTrial(SOUND)).isFalse();
        }
    }

    @Nested
    final class Bounds {
        @Test
        void keepTheRequestsWithMostCrashes() {
            crash(GUILTY, 1, 2);
            for (int i = 0; i < 3_000; i++) {
                crash(new RequestFingerprint("other-" + i), 3);
            }

            assertThat(ledger.size()).isEqualTo(1_024);
            assertThat(ledger.judge(GUILTY)).isEqualTo(Verdict.REFUSED);
        }
    }
}
