package firwheel.wire;

import firwheel.model.AttemptId;

/**
 * A message about one attempt to run a request. Byte arrays are not shared with other code once a message has been sent
 * or received.
 */
@SuppressWarnings("ArrayRecordComponent")
public sealed interface AttemptMessage extends Message {
    /** Returns the id of the attempt that the message is about. */
    AttemptId attempt();

    /**
     * Requests that an agent run a request.
     *
     * @param attempt new id of this attempt
     * @param agentIncarnation incarnation of the agent that the attempt is addressed to
     * @param row name of the row
     * @param rank position of the target in its row, from 0
     * @param organisation organisation of the caller
     * @param priority name of {@link firwheel.model.Priority}
     * @param idempotent whether the request may be run more than once
     * @param method HTTP method of the request to the target
     * @param path HTTP path of the request to the target
     * @param contentType content type of the body
     * @param idempotencyKey idempotency key sent by the caller, or empty
     * @param body body of the HTTP request
     * @param deadlineMillis the caller's deadline, as a reading of the agent's monotonic clock
     * @param estimatedTokens estimated prompt and output tokens
     * @param creditChunks number of chunks that the agent may send before it receives more credit
     * @param admitByMillis last reading of the agent's monotonic clock at which the attempt may be admitted
     */
    record Dispatch(
            AttemptId attempt,
            long agentIncarnation,
            String row,
            int rank,
            String organisation,
            String priority,
            boolean idempotent,
            String method,
            String path,
            String contentType,
            String idempotencyKey,
            byte[] body,
            long deadlineMillis,
            int estimatedTokens,
            int creditChunks,
            long admitByMillis)
            implements AttemptMessage {}

    /**
     * Reports that the attempt did not run and never will.
     *
     * @param attempt id of the attempt
     * @param code number of the {@link firwheel.model.ResultCode}
     * @param retryAfterMillis recommended delay before a retry
     * @param detail description for logs and error messages
     */
    record Refused(AttemptId attempt, int code, long retryAfterMillis, String detail) implements AttemptMessage {}

    /**
     * Starts a response.
     *
     * @param attempt id of the attempt
     * @param status HTTP status of the target's response
     * @param contentType content type of the response
     */
    record Head(AttemptId attempt, int status, String contentType) implements AttemptMessage {}

    /**
     * One chunk of a response.
     *
     * @param attempt id of the attempt
     * @param sequence position of the chunk, from 0
     * @param data bytes of the chunk; exactly one complete event if the response is an event stream
     */
    record Chunk(AttemptId attempt, long sequence, byte[] data) implements AttemptMessage {}

    /**
     * Ends a complete response.
     *
     * @param attempt id of the attempt
     * @param chunkCount total number of chunks sent
     * @param crc32c CRC-32C checksum over the bytes of all chunks in order
     */
    record End(AttemptId attempt, long chunkCount, int crc32c) implements AttemptMessage {}

    /**
     * Reports that the attempt ran but its response cannot be completed.
     *
     * @param attempt id of the attempt
     * @param code number of the {@link firwheel.model.ResultCode}
     * @param detail description for logs and error messages
     */
    record Failed(AttemptId attempt, int code, String detail) implements AttemptMessage {}

    /**
     * Acknowledges the chunks that the entry has, and allows the agent to send more.
     *
     * @param attempt id of the attempt
     * @param chunks number of chunks granted in addition to earlier credit
     * @param nextSequence first chunk that the entry does not have; the agent may discard the chunks before it
     */
    record Credit(AttemptId attempt, int chunks, long nextSequence) implements AttemptMessage {}

    /** Reports that the entry has verified that the response is complete; the agent may discard it. */
    record Received(AttemptId attempt) implements AttemptMessage {}

    /** Reports that the caller has disconnected. */
    record Cancel(AttemptId attempt) implements AttemptMessage {}

    /**
     * Asks for the state of an attempt, and prevents it from starting later.
     *
     * @param attempt id of the attempt
     * @param agentIncarnation incarnation of the agent that the attempt was addressed to
     * @param admitByMillis last reading of the agent's monotonic clock at which the attempt may be admitted
     */
    record Fence(AttemptId attempt, long agentIncarnation, long admitByMillis) implements AttemptMessage {}

    /**
     * Reply to {@link Fence}.
     *
     * @param attempt id of the attempt
     * @param state state of the attempt, as known to the agent
     * @param firstHeldSequence first chunk that the agent still holds and can send again
     * @param nextSequence sequence number of the next chunk to be produced
     * @param code number of the {@link firwheel.model.ResultCode} of a failure or of an unknown outcome, or 0
     */
    record FenceReply(AttemptId attempt, FenceState state, long firstHeldSequence, long nextSequence, int code)
            implements AttemptMessage {}

    /** State of a fenced attempt, as known to the agent. */
    enum FenceState {
        /** The attempt did not run and never will. */
        NEVER_ADMITTED,
        /** The attempt is running. */
        RUNNING,
        /** The attempt has ended, with a complete response or with a failure. */
        ENDED,
        /** The agent does not know whether the attempt ran. */
        UNKNOWN
    }

    /**
     * Requests that the agent resend a response, starting at a sequence number.
     *
     * @param attempt id of the attempt
     * @param fromSequence first chunk to send
     * @param creditChunks number of chunks that the agent may send
     */
    record Resume(AttemptId attempt, long fromSequence, int creditChunks) implements AttemptMessage {}
}
