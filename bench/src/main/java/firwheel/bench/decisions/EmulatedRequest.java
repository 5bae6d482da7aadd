package firwheel.bench.decisions;

/** One attempt of a caller at a rank. */
final class EmulatedRequest {
    /** Receives what happens to the request, after the delay of the network. */
    interface Listener {
        /** An event was received. */
        void onEvent(EmulatedRequest request);

        /** The response is complete. */
        void onComplete(EmulatedRequest request);

        /** The rank refused the request, which did not run, because of a lost rank or, with -1, for want of a place. */
        void onRefused(EmulatedRequest request, int lostRank);

        /** The response was broken off. */
        void onLost(EmulatedRequest request);
    }

    final int rank;
    final int entryZone;
    final Listener listener;
    private int promptTokens;
    private int eventsLeft;
    private boolean cancelled;

    EmulatedRequest(int rank, int entryZone, int promptTokens, int events, Listener listener) {
        this.rank = rank;
        this.entryZone = entryZone;
        this.promptTokens = promptTokens;
        this.eventsLeft = events;
        this.listener = listener;
    }

    boolean isWriting() {
        return promptTokens == 0;
    }

    /** Reads up to {@code tokens} of the prompt and returns how many were read. */
    int read(int tokens) {
        int read = Math.min(tokens, promptTokens);
        promptTokens -= read;
        return read;
    }

    /** Writes an event; returns whether it was the last one. */
    boolean write() {
        eventsLeft--;
        return eventsLeft <= 0;
    }

    void cancel() {
        cancelled = true;
    }

    boolean cancelled() {
        return cancelled;
    }
}
