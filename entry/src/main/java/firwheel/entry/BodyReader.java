package firwheel.entry;

import firwheel.model.FaultBoundary;
import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;

/**
 * Reads one request body within limits on size and time. A body that is too large is refused immediately, but up to twice
 * the size limit is still read and discarded: a caller that is still sending could not read the response if the
 * connection were closed.
 */
final class BodyReader {
    private static final String EXPECT_CONTINUE = "100-continue";

    private final HttpServerRequest request;
    private final ResponseWriter responseWriter;
    private final int maxBodyBytes;
    private final Consumer<Buffer> onBody;
    private final Buffer body = Buffer.buffer();
    private long receivedBytes;

    private BodyReader(
            HttpServerRequest request, ResponseWriter responseWriter, int maxBodyBytes, Consumer<Buffer> onBody) {
        this.request = request;
        this.responseWriter = responseWriter;
        this.maxBodyBytes = maxBodyBytes;
        this.onBody = onBody;
    }

    /**
     * Reads the body of {@code request} and passes it to {@code onBody}, or responds with an error. All steps run within
     * {@code boundary}.
     */
    static void read(
            Vertx vertx,
            EntrySettings settings,
            HttpServerRequest request,
            ResponseWriter responseWriter,
            FaultBoundary boundary,
            Consumer<Buffer> onBody) {
        BodyReader reader = new BodyReader(request, responseWriter, settings.maxBodyBytes(), onBody);
        long timer = vertx.setTimer(
                settings.bodyTimeoutMillis(), ignored -> boundary.run("body timeout", reader::onTimeout));
        request.handler(chunk -> boundary.run("receive body", () -> reader.onChunk(chunk)));
        request.exceptionHandler(error -> vertx.cancelTimer(timer));
        request.endHandler(ignored -> {
            vertx.cancelTimer(timer);
            boundary.run("start", reader::onEnd);
        });
        reader.checkDeclaredLength();
    }

    private void checkDeclaredLength() {
        String declaredLength = request.getHeader("Content-Length");
        if (declaredLength != null && Long.parseLong(declaredLength) > maxBodyBytes) {
            rejectTooLarge();
        } else if (EXPECT_CONTINUE.equalsIgnoreCase(request.getHeader("Expect"))) {
            request.response().writeContinue();
        }
    }

    private void onChunk(Buffer chunk) {
        receivedBytes += chunk.length();
        if (receivedBytes > 2L * maxBodyBytes) {
            request.connection().close();
        } else if (receivedBytes > maxBodyBytes) {
            rejectTooLarge();
        } else if (!responseWriter.isEnded()) {
            body.appendBuffer(chunk);
        }
    }

    private void rejectTooLarge() {
        responseWriter.fail(new FirwheelException(
                ResultCode.BODY_TOO_LARGE, "the request body exceeds the limit of " + maxBodyBytes + " bytes"));
    }

    private void onTimeout() {
        responseWriter.fail(new FirwheelException(
                ResultCode.REQUEST_TIMEOUT, "the request body did not arrive within the time limit"));
        request.connection().close();
    }

    private void onEnd() {
        if (!responseWriter.isEnded()) {
            onBody.accept(body);
        }
    }
}
