package firwheel.bench.routing;

import firwheel.model.RankKey;
import firwheel.routing.RankLoadReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A simulated rank with a queue, continuous batching and an LRU prefix cache. */
final class SimulatedRank {
    final RankKey key;
    private final RoutingMetrics metrics;
    private final Deque<SimulatedRequest> queue = new ArrayDeque<>();
    private final List<SimulatedRequest> running = new ArrayList<>();
    private final Map<Integer, Boolean> cachedPrefixes = new LinkedHashMap<>(16, 0.75f, true);
    private long outstandingTokens;
    private double lastStepMicros;

    SimulatedRank(RankKey key, RoutingMetrics metrics) {
        this.key = key;
        this.metrics = metrics;
    }

    void add(SimulatedRequest request) {
        queue.add(request);
        outstandingTokens += request.estimatedTokens();
    }

    boolean hasWork() {
        return !queue.isEmpty() || !running.isEmpty();
    }

    RankLoadReport report(long nowNanos) {
        return new RankLoadReport(
                outstandingTokens, running.size(), queue.size(), Math.round(lastStepMicros), 0, nowNanos);
    }

    /** Fills the batch from the queue, prefills a chunk of tokens and returns the compute time in microseconds. */
    double beginStep() {
        while (running.size() < EngineModel.MAX_RUNNING && !queue.isEmpty()) {
            start(queue.remove());
        }
        int budget = EngineModel.PREFILL_TOKENS_PER_STEP;
        int decoding = 0;
        long cachedTokens = 0;
        for (SimulatedRequest request : running) {
            if (request.remainingPrefillTokens == 0) {
                decoding++;
            }
            int prefilled = Math.min(budget, request.remainingPrefillTokens);
            request.remainingPrefillTokens -= prefilled;
            budget -= prefilled;
            cachedTokens += request.cachedTokens();
        }
        int prefillTokens = EngineModel.PREFILL_TOKENS_PER_STEP - budget;
        lastStepMicros = EngineModel.stepMicros(decoding, cachedTokens, prefillTokens);
        return lastStepMicros;
    }

    /** Generates one token for each request whose prefill is complete. */
    void endStep(long nowNanos) {
        RankLoadReport report = report(nowNanos);
        for (Iterator<SimulatedRequest> each = running.iterator(); each.hasNext(); ) {
            SimulatedRequest request = each.next();
            if (request.remainingPrefillTokens > 0) {
                continue;
            }
            request.generatedTokens++;
            request.entry.onToken(key, report);
            if (request.generatedTokens == 1) {
                metrics.onFirstToken(nowNanos, request.arrivedAtNanos);
            }
            if (request.generatedTokens >= request.outputTokens) {
                each.remove();
                outstandingTokens -= request.estimatedTokens();
                request.entry.onFinish(key, request);
            }
        }
    }

    private void start(SimulatedRequest request) {
        boolean hit = cachedPrefixes.put(request.prefix, true) != null;
        if (cachedPrefixes.size() > EngineModel.CACHED_PREFIXES) {
            cachedPrefixes.remove(cachedPrefixes.keySet().iterator().next());
        }
        request.remainingPrefillTokens = request.uniqueTokens + (hit ? 0 : EngineModel.PREFIX_TOKENS);
        metrics.onPrefixLookup(hit);
        running.add(request);
    }
}
