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

/** One rank: a queue, a continuous batch and a cache of prefixes. */
final class SimulatedRank {
    final RankKey key;
    private final RoutingMeasures measures;
    private final Deque<SimulatedRequest> queue = new ArrayDeque<>();
    private final List<SimulatedRequest> running = new ArrayList<>();
    private final Map<Integer, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);
    private long outstandingTokens;
    private double lastStepMicros;

    SimulatedRank(RankKey key, RoutingMeasures measures) {
        this.key = key;
        this.measures = measures;
    }

    void add(SimulatedRequest request) {
        queue.add(request);
        outstandingTokens += request.estimatedTokens();
    }

    boolean busy() {
        return !queue.isEmpty() || !running.isEmpty();
    }

    RankLoadReport report(long nowNanos) {
        return new RankLoadReport(
                outstandingTokens, running.size(), queue.size(), Math.round(lastStepMicros), 0, nowNanos);
    }

    /** Starts what fits in the batch, reads a part of the prompts and returns the computing time in microseconds. */
    double beginStep() {
        while (running.size() < EngineModel.MAX_RUNNING && !queue.isEmpty()) {
            start(queue.remove());
        }
        int budget = EngineModel.PREFILL_TOKENS_PER_STEP;
        int decoding = 0;
        long cachedTokens = 0;
        for (SimulatedRequest request : running) {
            if (request.prefillLeft == 0) {
                decoding++;
            }
            int read = Math.min(budget, request.prefillLeft);
            request.prefillLeft -= read;
            budget -= read;
            cachedTokens += request.cachedTokens();
        }
        int prefillTokens = EngineModel.PREFILL_TOKENS_PER_STEP - budget;
        lastStepMicros = EngineModel.stepMicros(decoding, cachedTokens, prefillTokens);
        return lastStepMicros;
    }

    /** Gives each request whose prompt is read one token. */
    void endStep(long nowNanos) {
        RankLoadReport report = report(nowNanos);
        for (Iterator<SimulatedRequest> each = running.iterator(); each.hasNext(); ) {
            SimulatedRequest request = each.next();
            if (request.prefillLeft > 0) {
                continue;
            }
            request.produced++;
            request.entry.onToken(key, report);
            if (request.produced == 1) {
                measures.onFirstToken(nowNanos, request.arrivedAtNanos);
            }
            if (request.produced >= request.outputTokens) {
                each.remove();
                outstandingTokens -= request.estimatedTokens();
                request.entry.onFinish(key, request);
            }
        }
    }

    private void start(SimulatedRequest request) {
        boolean hit = prefixes.put(request.prefix, true) != null;
        if (prefixes.size() > EngineModel.CACHED_PREFIXES) {
            prefixes.remove(prefixes.keySet().iterator().next());
        }
        request.prefillLeft = request.uniqueTokens + (hit ? 0 : EngineModel.PREFIX_TOKENS);
        measures.onPrefix(hit);
        running.add(request);
    }
}
