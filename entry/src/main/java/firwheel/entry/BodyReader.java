package firwheel.entry;

import firwheel.model.FirwheelException;
import firwheel.model.ResultCode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;

/**
 * Reads one request body within limits of size and time. A body that is too large is answered at once; then a bounded
 * rest of it is discarded, so that the caller gets to read the answer.
 */
final class BodyReader {
    private static final String CONTINUE = "100-continue";

    private final HttpServerRequest request;
    private final AnswerWriter answer;
    private final int maxBodyBytes;
    private final Consumer<Buffer> whole;
    private final Buffer body = Buffer.buffer();
    private long receivedBytes;

    private BodyReader(HttpServerRequest request, AnswerWriter answer, int maxBodyBytes, Consumer<Buffer> whole) {
        this.request = request;
        this.answer = answer;
        this.maxBodyBytes = maxBodyBytes;
        this.whole = whole;
    }

    /** Reads the body of {@code request} and hands it to {@code whole}, or answers with a refusal. */
    static void read(
            Vertx vertx,
            EntrySettings settings,
            HttpServerRequest request,
            AnswerWriter answer,
            Consumer<Buffer> whole) {
        BodyReader reader = new BodyReader(request, answer, settings.maxBodyBytes(), whole);
        long timer = vertx.setTimer(settings.bodyTimeoutMillis(), ignored -> reader.onTimeout());
        request.handler(reader::onPiece);
        request.exceptionHandler(error -> vertx.cancelTimer(timer));
        request.endHandler(ignored -> {
            vertx.cancelTimer(timer);
            reader.onEnd();
        });
        reader.checkDeclaredLength();
    }

    private void checkDeclaredLength() {
        String declared = request.getHeader("Content-Length");
        if (declared != null && Long.parseLong(declared) > maxBodyBytes) {
            refuseSize();
        } else if (CONTINUE.equalsIgnoreCase(request.getHeader("Expect"))) {
            request.response().writeContinue();
        }
    }

    private void onPiece(Buffer piece) {
        receivedBytes += piece.length();
        if (receivedBytes > 2L * maxBodyBytes) {
            request.connection().close();
        } else if (receivedBytes > maxBodyBytes) {
            refuseSize();
        } else if (!answer.isOver()) {
            body.appendBuffer(piece);
        }
    }

    private void refuseSize() {
        answer.error(new FirwheelException(ResultCode.BODY_TOO_LARGE, "the limit is " + maxBodyBytes + " bytes"));
    }

    private void onTimeout() {
        answer.error(new FirwheelException(ResultCode.REQUEST_TIMEOUT, "the body did not arrive in time"));
        request.connection().close();
    }

    private void onEnd() {
        if (!answer.isOver()) {
            whole.accept(body);
        }
    }
}
