package firwheel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import firwheel.model.ManualTimeSource;
import firwheel.model.RankKey;
import firwheel.model.ResultCode;
import firwheel.model.RowState;
import firwheel.model.TableSnapshot;
import firwheel.model.TargetKind;
import firwheel.model.TargetRow;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class TokenAwarePolicyTest {
    private final ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
    private final LoadTracker tracker = new LoadTracker(time);
    private RoutingPolicy policy = RoutingPolicies.TOKEN_AWARE.create(RandomSource.seeded(1));

    @BeforeEach
    void start() {
        time.advance(Duration.ofSeconds(1));
    }

    private RouteDecision decide(TableSnapshot table, RouteRequest request) {
        return policy.choose(request, tracker.view(table, RoutingFixtures.ZONE));
    }

    /** Returns how often each rank is chosen in {@code count} decisions, without dispatching any request. */
    private Map<RankKey, Integer> countChosenRanks(TableSnapshot table, RouteRequest request, int count) {
        Map<RankKey, Integer> chosen = new HashMap<>();
        for (int i = 0; i < count; i++) {
            RouteDecision decision = decide(table, request);
            if (decision instanceof RouteDecision.Chosen rank) {
                chosen.merge(rank.key(), 1, Integer::sum);
            }
        }
        return chosen;
    }

    private void report(String row, int rank, long tokens, int requests) {
        tracker.onReport(
                new RankKey(row, rank), new RankLoadReport(tokens, requests, 0, 30_000, 0, time.monotonicNanos()));
    }

    @Nested
    class EveryPolicy {
        @ParameterizedTest
        @EnumSource
        void choosesOnlyServingRanksThatAreNotExcluded(RoutingPolicies kind) {
            policy = kind.create(RandomSource.seeded(2));
            TableSnapshot table = RoutingFixtures.table(
                    1,
                    RoutingFixtures.group("serving", "z1", RowState.SERVING, 1, 3),
                    RoutingFixtures.group("joining", "z1", RowState.JOINING, 1, 2),
                    RoutingFixtures.group("leaving", "z1", RowState.LEAVING, 1, 2),
                    RoutingFixtures.group("weightless", "z1", RowState.SERVING, 0, 2));
            RouteRequest request = RoutingFixtures.request(List.of(7L), new RankKey("serving", 1));

            assertThat(countChosenRanks(table, request, 200).keySet())
                    .isSubsetOf(Set.of(new RankKey("serving", 0), new RankKey("serving", 2)))
                    .isNotEmpty();
        }

        @ParameterizedTest
        @EnumSource
        void refusesRequestsThatNoRowServes(RoutingPolicies kind) {
            policy = kind.create(RandomSource.seeded(2));
            TableSnapshot joining = RoutingFixtures.table(1, RoutingFixtures.group("a", "z1", RowState.JOINING, 1, 1));
            RouteDecision noTarget = decide(joining, RoutingFixtures.request());
            RouteDecision unknown = decide(TableSnapshot.EMPTY, RoutingFixtures.request());

            assertThat(noTarget).isInstanceOfSatisfying(RouteDecision.Refused.class, refusal -> {
                assertThat(refusal.code()).isEqualTo(ResultCode.NO_TARGET);
                assertThat(refusal.retryAfter()).isPositive();
            });
            assertThat(unknown).isEqualTo(new RouteDecision.Refused(ResultCode.UNKNOWN_MODEL, Duration.ZERO));
        }
    }

    @Nested
    class Balance {
        @Test
        void prefersTheRankWithFewerOutstandingTokensAndCountsItsOwnRequests() {
            TableSnapshot table = RoutingFixtures.table(1, RoutingFixtures.group("a", "z1", RowState.SERVING, 1, 2));
            report("a", 0, 10_000, 8);
            report("a", 1, 6_000, 8);

            assertThat(countChosenRanks(table, RoutingFixtures.request(), 50)).containsOnlyKeys(new RankKey("a", 1));

            time.advance(Duration.ofMillis(1));
            tracker.onDispatch(new RankKey("a", 1), 8_000);
            assertThat(countChosenRanks(table, RoutingFixtures.request(), 50)).containsOnlyKeys(new RankKey("a", 0));
        }

        @Test
        void distributesRequestsByWeight() {
            TargetRow heavy = RoutingFixtures.group("heavy", "z1", RowState.SERVING, 3, 1);
            TargetRow light = RoutingFixtures.group("light", "z1", RowState.SERVING, 1, 1);
            TableSnapshot table = RoutingFixtures.table(1, heavy, light);
            int[] sent = new int[2];
            for (int i = 0; i < 80; i++) {
                RouteDecision.Chosen chosen = (RouteDecision.Chosen) decide(table, RoutingFixtures.request());
                tracker.onDispatch(chosen.key(), 200);
                sent[chosen.key().row().equals("heavy") ? 0 : 1]++;
            }
            assertThat((double) sent[0] / sent[1]).isBetween(2.5, 3.5);
        }

        @Test
        void rampsUpARowThatWasJoining() {
            TargetRow old = RoutingFixtures.group("old", "z1", RowState.SERVING, 1, 1);
            TargetRow fresh = RoutingFixtures.group("fresh", "z1", RowState.JOINING, 1, 1);
            decide(RoutingFixtures.table(1, old, fresh), RoutingFixtures.request());
            TableSnapshot table = RoutingFixtures.table(2, old, fresh.withState(RowState.SERVING));
            decide(table, RoutingFixtures.request());
            report("old", 0, 10_000, 8);
            report("fresh", 0, 5_000, 4);

            assertThat(countChosenRanks(table, RoutingFixtures.request(), 50)).containsOnlyKeys(new RankKey("old", 0));

            time.advance(Duration.ofSeconds(30));
            report("old", 0, 10_000, 8);
            report("fresh", 0, 5_000, 4);
            assertThat(countChosenRanks(table, RoutingFixtures.request(), 50))
                    .containsOnlyKeys(new RankKey("fresh", 0));
        }
    }

    @Nested
    class Affinity {
        private final TableSnapshot table =
                RoutingFixtures.table(1, RoutingFixtures.group("a", "z1", RowState.SERVING, 1, 16));
        private final RouteRequest request = RoutingFixtures.request(LongStream.range(0, 16)
                .mapToObj(block -> (block + 1) * 0x5eed_0000_0000L)
                .toList());

        @Test
        void keepsAPrefixOnItsAffinityRanksUntilTheyExceedTheLoadBound() {
            for (int rank = 0; rank < 16; rank++) {
                report("a", rank, 10_000, 10);
            }
            Set<RankKey> affinityRanks = countChosenRanks(table, request, 200).keySet();
            assertThat(affinityRanks).hasSizeBetween(1, TokenAwareSettings.DEFAULTS.affinityRanks());

            time.advance(Duration.ofSeconds(1));
            for (int rank = 0; rank < 16; rank++) {
                report("a", rank, affinityRanks.contains(new RankKey("a", rank)) ? 20_000 : 10_000, 10);
            }
            assertThat(countChosenRanks(table, request, 200).keySet()).doesNotContainAnyElementsOf(affinityRanks);
        }
    }

    @Nested
    class Zones {
        private final TargetRow own = RoutingFixtures.group("own", "z1", RowState.SERVING, 1, 2);
        private final TargetRow other = RoutingFixtures.group("other", "z2", RowState.SERVING, 1, 2);
        private final TableSnapshot table = RoutingFixtures.table(1, own, other);

        private void load(int ownRequests) {
            report("own", 0, ownRequests * 200L, ownRequests);
            report("own", 1, ownRequests * 200L, ownRequests);
            report("other", 0, 200, 1);
            report("other", 1, 200, 1);
        }

        private Set<String> rowsUsed(int ownRequests, Duration elapsed) {
            time.advance(elapsed);
            load(ownRequests);
            Set<RankKey> keys =
                    countChosenRanks(table, RoutingFixtures.request(), 50).keySet();
            return keys.stream().map(RankKey::row).collect(Collectors.toSet());
        }

        @Test
        void spilloverStartsAndEndsOnlyAfterASustainedChange() {
            assertThat(rowsUsed(30, Duration.ofSeconds(1))).containsExactly("own");
            assertThat(rowsUsed(40, Duration.ofMillis(100))).containsExactly("own");
            assertThat(rowsUsed(40, Duration.ofMillis(1_100))).contains("other");
            assertThat(rowsUsed(30, Duration.ofSeconds(2))).contains("other");
            assertThat(rowsUsed(10, Duration.ofMillis(100))).isNotEmpty();
            assertThat(rowsUsed(10, Duration.ofMillis(1_100))).containsExactly("own");
        }

        @Test
        void refusalOfOneRankDoesNotStartSpillover() {
            load(1);
            RouteRequest retry = RoutingFixtures.request(List.of(), new RankKey("own", 0));
            assertThat(countChosenRanks(table, retry, 50)).containsOnlyKeys(new RankKey("own", 1));
        }

        @Test
        void refusesWithRetryAfterWhenAllRanksAreAtTheirLimits() {
            load(64);
            report("other", 0, 20_000, 64);
            report("other", 1, 20_000, 64);
            assertThat(decide(table, RoutingFixtures.request()))
                    .isInstanceOfSatisfying(RouteDecision.Refused.class, refusal -> {
                        assertThat(refusal.code()).isEqualTo(ResultCode.SATURATED);
                        assertThat(refusal.retryAfter()).isPositive();
                    });
        }
    }

    @Nested
    class Stalls {
        private final TableSnapshot table =
                RoutingFixtures.table(1, RoutingFixtures.group("a", "z1", RowState.SERVING, 1, 2));
        private final RankKey stalled = new RankKey("a", 0);

        private int sharePercent() {
            return countChosenRanks(table, RoutingFixtures.request(), 100).getOrDefault(stalled, 0);
        }

        private void reportStep(long stepMicros, long silentMillis) {
            time.advance(Duration.ofMillis(100));
            tracker.onReport(stalled, new RankLoadReport(100, 1, 0, stepMicros, silentMillis, time.monotonicNanos()));
            report("a", 1, 5_000, 1);
        }

        @Test
        void slowStepStopsNewRequestsAndRecoveryIsGradual() {
            reportStep(30_000, 0);
            assertThat(sharePercent()).isEqualTo(100);
            reportStep(300_000, 0);
            assertThat(sharePercent()).isZero();

            reportStep(30_000, 0);
            double first =
                    tracker.view(table, RoutingFixtures.ZONE).load(stalled).admissionShare();
            time.advance(Duration.ofSeconds(5));
            double later =
                    tracker.view(table, RoutingFixtures.ZONE).load(stalled).admissionShare();
            time.advance(Duration.ofSeconds(6));
            assertThat(first).isBetween(0.05, 0.2);
            assertThat(later).isBetween(0.4, 0.7);
            assertThat(tracker.view(table, RoutingFixtures.ZONE).load(stalled).stalled())
                    .isFalse();
        }

        @Test
        void engineWithoutOutputGetsNoNewRequests() {
            reportStep(30_000, 0);
            reportStep(0, 2_000);
            assertThat(sharePercent()).isZero();
        }

        @Test
        void unavailableRankGetsNoNewRequestsAndIsThenRampedUp() {
            reportStep(30_000, 0);
            tracker.onUnavailable(stalled);
            assertThat(sharePercent()).isZero();
            time.advance(Duration.ofMillis(1_001));
            assertThat(tracker.view(table, RoutingFixtures.ZONE).load(stalled).admissionShare())
                    .isBetween(0.05, 0.2);
        }

        @Test
        void agentWithoutProgressOnOpenRequestsGetsNoNewRequests() {
            tracker.onDispatch(stalled, 100);
            time.advance(Duration.ofSeconds(2));
            report("a", 1, 5_000, 1);
            assertThat(sharePercent()).isZero();
            tracker.onProgress(stalled);
            assertThat(tracker.view(table, RoutingFixtures.ZONE).load(stalled).stalled())
                    .isFalse();
        }
    }

    @Nested
    class Tracking {
        @Test
        void countsOnlyOwnChangesMadeAfterTheReportWasSampled() {
            RankKey key = new RankKey("a", 0);
            tracker.onDispatch(key, 300);
            time.advance(Duration.ofMillis(10));
            long sampledAtNanos = time.monotonicNanos();
            time.advance(Duration.ofMillis(10));
            tracker.onDispatch(key, 50);
            tracker.onReport(key, new RankLoadReport(1_000, 4, 0, 0, 0, sampledAtNanos));
            tracker.onReport(key, new RankLoadReport(9_999, 4, 0, 0, 0, sampledAtNanos - 1));
            TableSnapshot table = RoutingFixtures.table(1, RoutingFixtures.group("a", "z1", RowState.SERVING, 1, 1));

            assertThat(tracker.view(table, RoutingFixtures.ZONE).load(key).estimatedTokens())
                    .isEqualTo(1_050);
            tracker.onFinish(key, 300);
            assertThat(tracker.view(table, RoutingFixtures.ZONE).load(key).estimatedTokens())
                    .isEqualTo(750);
        }

        @Test
        void probesExpireAfterOneSecond() {
            RankKey key = new RankKey("a", 0);
            tracker.onProbe(
                    TargetKind.MODEL,
                    RoutingFixtures.MODEL,
                    key,
                    new RankLoadReport(1, 1, 0, 0, 0, time.monotonicNanos()));
            RoutingView view = tracker.view(TableSnapshot.EMPTY, RoutingFixtures.ZONE);
            assertThat(view.recentlyProbed(TargetKind.MODEL, RoutingFixtures.MODEL))
                    .containsExactly(key);
            time.advance(Duration.ofMillis(1_001));
            assertThat(view.recentlyProbed(TargetKind.MODEL, RoutingFixtures.MODEL))
                    .isEmpty();
        }
    }
}
