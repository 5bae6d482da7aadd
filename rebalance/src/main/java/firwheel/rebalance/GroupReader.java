package firwheel.rebalance;

import firwheel.experts.rollout.HoldSteps;
import firwheel.experts.rollout.MapRollout;
import firwheel.model.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Reads the ranks of a group, and the expert selections of a limited number of them at a time. */
final class GroupReader {
    private static final int AGENTS_PER_SELECTION_READING = 16; // 63 ranks are sampled within a second

    private final RankClient client;
    private final TimeSource time;
    private final Supplier<Set<EngineAddress>> knownEngines;
    private final CallTimeouts timeouts;
    private final HoldSteps holdSteps;
    private final SelectionSampling selectionSampling = new SelectionSampling(AGENTS_PER_SELECTION_READING);

    /** Creates a reader that measures its readings for {@code timeouts} and exchanges {@code holdSteps} with agents. */
    GroupReader(
            RankClient client,
            TimeSource time,
            Supplier<Set<EngineAddress>> knownEngines,
            CallTimeouts timeouts,
            HoldSteps holdSteps) {
        this.client = client;
        this.time = time;
        this.knownEngines = knownEngines;
        this.timeouts = timeouts;
        this.holdSteps = holdSteps;
    }

    /**
     * Reads the local rank, the ranks of other agents, and directly the known engines whose agent did not respond.
     *
     * @param placed whether to read which experts the ranks hold
     */
    CompletableFuture<List<RankClient.Answer>> readAll(long term, List<String> agentIps, boolean placed) {
        List<CompletableFuture<RankClient.Answer>> calls = new ArrayList<>();
        Set<String> sampled = selectionSampling.next(agentIps);
        for (String ip : agentIps) {
            RankCall.Read read = read(term, sampled.contains(ip), placed);
            calls.add(client.readAgent(ip, read, CallTimeouts.REGULAR));
        }
        List<CompletableFuture<RankClient.Answer>> measuredCalls = measured(calls);
        measuredCalls.add(client.readLocal(read(term, true, placed)));
        return allOf(measuredCalls)
                .thenApply(this::withHoldSteps)
                .thenCompose(answers -> withUnreadEngines(term, answers));
    }

    private RankCall.Read read(long term, boolean selections, boolean placed) {
        return new RankCall.Read(term, selections, placed, holdSteps.known());
    }

    private List<RankClient.Answer> withHoldSteps(List<RankClient.Answer> answers) {
        for (RankClient.Answer answer : answers) {
            RankCall.Reading reading = answer.reading();
            HoldSteps.Known known = reading == null ? null : reading.holdSteps();
            if (known != null) {
                holdSteps.merge(known);
            }
        }
        return answers;
    }

    /**
     * Reads ranks while a map is rolled out.
     *
     * @param selections whether to read expert selections as well
     */
    CompletableFuture<List<RankClient.Answer>> readDuringRollout(
            long term, Collection<RankClient.Route> ranks, MapRollout rollout, boolean selections) {
        RankClient.CallOptions options = timeouts.forReading(rollout);
        Set<String> sampled = selections ? selectionSampling.next(agentIps(ranks)) : Set.of();
        List<CompletableFuture<RankClient.Answer>> calls = new ArrayList<>();
        for (RankClient.Route rank : ranks) {
            boolean withSelections = selections && (rank.isLocal() || sampled.contains(rank.agentIp()));
            RankCall.Read read = read(term, withSelections, false);
            calls.add(client.readRank(rank, read, options));
        }
        return allOf(selections ? calls : measured(calls));
    }

    /** Reads the rank that decides how a rollout goes on. */
    CompletableFuture<List<RankClient.Answer>> readDecidingRank(long term, RankClient.Route rank, MapRollout rollout) {
        RankCall.Read read = read(term, false, false);
        return client.readRank(rank, read, timeouts.forReading(rollout)).thenApply(List::of);
    }

    private static List<String> agentIps(Collection<RankClient.Route> ranks) {
        return ranks.stream()
                .filter(rank -> !rank.isLocal())
                .map(RankClient.Route::agentIp)
                .toList();
    }

    /** Measures how long the ranks take to answer calls that have just been sent. */
    private List<CompletableFuture<RankClient.Answer>> measured(List<CompletableFuture<RankClient.Answer>> calls) {
        long startedNanos = time.monotonicNanos();
        timeouts.onReadingStarted();
        List<CompletableFuture<RankClient.Answer>> measured = new ArrayList<>();
        for (CompletableFuture<RankClient.Answer> call : calls) {
            measured.add(call.thenApply(answer -> {
                if (answer.reading() != null) {
                    timeouts.onAnswer(Duration.ofNanos(time.monotonicNanos() - startedNanos));
                }
                return answer;
            }));
        }
        return measured;
    }

    private CompletableFuture<List<RankClient.Answer>> withUnreadEngines(long term, List<RankClient.Answer> answers) {
        Set<EngineAddress> unread = new HashSet<>(knownEngines.get());
        answers.forEach(answer -> {
            RankCall.Reading reading = answer.reading();
            if (reading != null) {
                unread.remove(reading.engine());
            }
        });
        List<CompletableFuture<RankClient.Answer>> calls = new ArrayList<>();
        answers.forEach(answer -> calls.add(CompletableFuture.completedFuture(answer)));
        unread.forEach(address -> calls.add(client.readEngine(address, term)));
        return allOf(calls);
    }

    private static <T> CompletableFuture<List<T>> allOf(List<CompletableFuture<T>> calls) {
        return CompletableFuture.allOf(calls.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> calls.stream().map(CompletableFuture::join).toList());
    }
}
