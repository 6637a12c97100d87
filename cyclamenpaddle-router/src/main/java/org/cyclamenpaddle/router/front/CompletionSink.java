package org.cyclamenpaddle.router.front;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import java.util.Optional;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.router.problem.Problem;
import org.cyclamenpaddle.router.request.ResponseSink;

/**
 * Writes the response of a completion to the caller, either streamed token by token or as one
 * document.
 */
abstract class CompletionSink implements ResponseSink {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final RequestId mRequest;
    private final String mModel;
    private final HttpResponseWriter mWriter;

    CompletionSink(RequestId request, String model, HttpResponseWriter writer) {
        mRequest = request;
        mModel = model;
        mWriter = writer;
    }

    static ResponseSink of(
            RequestId request, String model, boolean stream, HttpResponseWriter writer) {
        return stream ? new Streamed(request, model, writer) : new Buffered(request, model, writer);
    }

    ObjectNode document(String text, Optional<String> finishReason) {
        ObjectNode document = MAPPER.createObjectNode();
        document.put("id", mRequest.value());
        document.put("object", "text_completion");
        document.put("model", mModel);
        ObjectNode choice = document.putArray("choices").addObject();
        choice.put("index", 0);
        choice.put("text", text);
        choice.put("finish_reason", finishReason.orElse(null));
        return document;
    }

    void headers(MediaType type) {
        mWriter.tryWrite(
                ResponseHeaders.builder(HttpStatus.OK)
                        .contentType(type)
                        .add(HttpHeaderNames.CACHE_CONTROL, "no-store")
                        .add(Problem.REQUEST_ID_HEADER, mRequest.value())
                        .build());
    }

    void write(String text) {
        mWriter.tryWrite(HttpData.ofUtf8(text));
    }

    void close() {
        mWriter.close();
    }

    void writeProblem(Refusal refusal) {
        Problem problem = Problem.of(refusal);
        mWriter.tryWrite(problem.headers(mRequest.value()));
        write(problem.document());
        close();
    }

    /** Streams server-sent events, one for each token. */
    private static final class Streamed extends CompletionSink {

        private boolean mStarted;

        Streamed(RequestId request, String model, HttpResponseWriter writer) {
            super(request, model, writer);
        }

        @Override
        public void token(int index, String text) {
            begin();
            event(document(text, Optional.empty()).toString());
        }

        @Override
        public void finished(int tokens, String finishReason) {
            begin();
            event(document("", Optional.of(finishReason)).toString());
            event("[DONE]");
            close();
        }

        @Override
        public void refused(Refusal refusal, int tokensSent) {
            if (!mStarted) {
                writeProblem(refusal);
                return;
            }
            // The status line has already been sent; without an explicit error event the caller
            // would take a truncated response for a complete one.
            write("event: error\n");
            event(Problem.of(refusal).document());
            close();
        }

        private void begin() {
            if (!mStarted) {
                mStarted = true;
                headers(MediaType.EVENT_STREAM);
            }
        }

        private void event(String data) {
            write("data: " + data + "\n\n");
        }
    }

    /** Buffers the tokens and writes one JSON document at the end. */
    private static final class Buffered extends CompletionSink {

        private final StringBuilder mText = new StringBuilder();

        Buffered(RequestId request, String model, HttpResponseWriter writer) {
            super(request, model, writer);
        }

        @Override
        public void token(int index, String text) {
            mText.append(text);
        }

        @Override
        public void finished(int tokens, String finishReason) {
            headers(MediaType.JSON_UTF_8);
            write(document(mText.toString(), Optional.of(finishReason)).toString());
            close();
        }

        @Override
        public void refused(Refusal refusal, int tokensSent) {
            writeProblem(refusal);
        }
    }
}
