package firwheel.bench.decisions;

import firwheel.bench.VirtualEventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/** A group of ranks that run all passes together, with a queue and a batch for each rank. */
final class EmulatedGroup {
    private static final double NANOS_PER_MILLI = 1e6;

    /** State of the group. */
    enum State {
        OPEN,
        STALLED,
        BROKEN,
        FORMING
    }

    private static final class Rank {
        private final Deque<EmulatedRequest> queue = new ArrayDeque<>();
        private final List<EmulatedRequest> running = new ArrayList<>();

        private void admit(int slots) {
            queue.removeIf(EmulatedRequest::cancelled);
            running.removeIf(EmulatedRequest::cancelled);
            while (running.size() < slots && !queue.isEmpty()) {
                running.add(queue.remove());
            }
        }

        private boolean hasWriter() {
            return running.stream().anyMatch(EmulatedRequest::isWriting);
        }
    }

    private final VirtualEventLoop loop;
    private final EngineTimes engine;
    private final EmulatedNetwork network;
    private final List<Rank> ranks = new ArrayList<>();
    private State state = State.OPEN;
    private long epoch = 1;
    private double imbalance;
    private boolean passRunning;
    private long passGeneration;
    private int lostRank = -1;
    private long misdirectedUntilNanos;

    EmulatedGroup(VirtualEventLoop loop, EngineTimes engine, EmulatedNetwork network, int size, double imbalance) {
        this.loop = loop;
        this.engine = engine;
        this.network = network;
        this.imbalance = imbalance;
        for (int i = 0; i < size; i++) {
            ranks.add(new Rank());
        }
    }

    State state() {
        return state;
    }

    long epoch() {
        return epoch;
    }

    int size() {
        return ranks.size();
    }

    /** Returns the number of running and queued requests of a rank. */
    int outstanding(int rank) {
        return ranks.get(rank).queue.size() + ranks.get(rank).running.size();
    }

    void setImbalance(double newImbalance) {
        imbalance = newImbalance;
    }

    /** Takes a request that has arrived at its rank. */
    void submit(EmulatedRequest request) {
        Rank rank = ranks.get(request.rank);
        if (state == State.BROKEN || state == State.FORMING) {
            refuse(request, lostRank);
        } else if (loop.nowNanos() < misdirectedUntilNanos) {
            refuse(request, -1);
        } else if (rank.queue.size() >= engine.queue()) {
            refuse(request, -1);
        } else {
            rank.queue.add(request);
            beginPass();
        }
    }

    private void refuse(EmulatedRequest request, int faultyRank) {
        network.toEntry(request, () -> request.listener.onRefused(request, faultyRank));
    }

    /** Refuses requests for some time, since they are meant for targets that were running before. */
    void misdirectFor(Duration duration) {
        misdirectedUntilNanos = loop.nowNanos() + duration.toNanos();
    }

    /** Loses a rank: all wait for it, and then break off what runs and refuse the rest. */
    void loseRank(int rank) {
        if (state != State.OPEN) {
            return;
        }
        state = State.STALLED;
        lostRank = rank;
        passGeneration++;
        passRunning = false;
        loop.schedule(engine.stall().toNanos(), () -> {
            if (state == State.STALLED) {
                state = State.BROKEN;
                breakOff();
            }
        });
    }

    private void breakOff() {
        for (Rank rank : ranks) {
            rank.queue.forEach(request -> refuse(request, lostRank));
            rank.running.forEach(request -> network.toEntry(request, () -> request.listener.onLost(request)));
            rank.queue.clear();
            rank.running.clear();
        }
    }

    /** Takes the lost rank back; the group opens some time later in a new epoch. */
    void returnRank(Consumer<EmulatedGroup> onOpen) {
        if (state == State.STALLED) {
            breakOff();
        }
        state = State.FORMING;
        loop.schedule(engine.formTime().toNanos(), () -> {
            state = State.OPEN;
            epoch++;
            lostRank = -1;
            onOpen.accept(this);
        });
    }

    private void beginPass() {
        if (passRunning || state != State.OPEN) {
            return;
        }
        ranks.forEach(rank -> rank.admit(engine.slots()));
        if (ranks.stream().allMatch(rank -> rank.running.isEmpty())) {
            return;
        }
        passRunning = true;
        int steps = ranks.stream().anyMatch(Rank::hasWriter) ? engine.stepsPerPass() : 1;
        List<EmulatedRequest> writers = new ArrayList<>();
        double total = 0;
        double slowest = 0;
        for (Rank rank : ranks) {
            double millis = beginPass(rank, steps, writers);
            total += millis;
            slowest = Math.max(slowest, millis);
        }
        double millis = slowest * (1 - engine.expertShare()) + total / ranks.size() * engine.expertShare() * imbalance;
        long generation = passGeneration;
        loop.schedule((long) (millis * NANOS_PER_MILLI), () -> {
            if (generation == passGeneration) {
                endPass(writers);
            }
        });
    }

    /** Adds the requests of a rank that write in the pass, lets the others read, and returns the rank's work. */
    private double beginPass(Rank rank, int steps, List<EmulatedRequest> writers) {
        int budget = engine.promptTokensPerStep() * steps;
        int readTokens = 0;
        int writing = 0;
        for (EmulatedRequest request : rank.running) {
            if (request.isWriting()) {
                writing++;
                writers.add(request);
            } else {
                readTokens += request.read(budget - readTokens);
            }
        }
        return steps * (engine.stepMillis() + engine.millisPerSequence() * writing)
                + readTokens / engine.promptTokensPerMilli();
    }

    private void endPass(List<EmulatedRequest> writers) {
        passRunning = false;
        for (EmulatedRequest request : writers) {
            boolean last = request.write();
            network.toEntry(request, () -> request.listener.onEvent(request));
            if (last) {
                ranks.get(request.rank).running.remove(request);
                network.toEntry(request, () -> request.listener.onComplete(request));
            }
        }
        beginPass();
    }

    /** Removes all requests, as the entries that sent them have ended. */
    void cancelAll() {
        ranks.forEach(rank -> {
            rank.queue.forEach(EmulatedRequest::cancel);
            rank.running.forEach(EmulatedRequest::cancel);
        });
    }
}
