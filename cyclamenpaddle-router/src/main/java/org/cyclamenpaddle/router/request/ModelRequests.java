package org.cyclamenpaddle.router.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cyclamenpaddle.core.config.ServiceSpec;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.text.PromptText;
import org.cyclamenpaddle.routing.request.RequestEnvironment;
import org.cyclamenpaddle.routing.request.RequestMachine;
import org.cyclamenpaddle.routing.request.RequestSettings;
import org.cyclamenpaddle.routing.request.RequestShape;

/** Runs the model requests of this host, from the call by the HTTP front end to the last token. */
public final class ModelRequests {

    private final RequestServices mServices;
    private final RequestEnvironment mEnvironment;
    private final RequestSettings mSettings;
    private final StepRecorder mRecorder;
    private final RequestAccounting mAccounting;
    private final Map<RequestId, RequestRun> mRuns = new ConcurrentHashMap<>();

    /**
     * A model request as parsed by the HTTP front end.
     *
     * @param id identifier assigned by the HTTP front end
     * @param service the requested service
     * @param team the caller's team
     * @param prompt text of the prompt
     * @param maxTokens maximum number of tokens to generate
     */
    public record Call(
            RequestId id, ServiceSpec service, TeamName team, String prompt, int maxTokens) {}

    /**
     * Creates an instance without requests.
     *
     * @param services services used by every run
     * @param environment environment of the request state machines
     * @param settings bounds on the steps of a request
     * @param recorder records decision steps for operators
     * @param accounting tracks output lengths and in-flight requests
     */
    public ModelRequests(
            RequestServices services,
            RequestEnvironment environment,
            RequestSettings settings,
            StepRecorder recorder,
            RequestAccounting accounting) {
        mServices = services;
        mEnvironment = environment;
        mSettings = settings;
        mRecorder = recorder;
        mAccounting = accounting;
    }

    /** Starts a request; its response goes to the sink. */
    public void start(Call call, ResponseSink sink) {
        RequestShape shape = shape(call);
        RequestJournal journal =
                new RequestJournal(
                        call.id(),
                        call.service(),
                        mServices.clock().millis(),
                        mRecorder,
                        mServices.metrics());
        RequestRun run =
                new RequestRun(
                        shape,
                        call.prompt(),
                        mServices,
                        new RequestMachine(shape, mSettings, mEnvironment),
                        journal,
                        new ReleasingSink(shape, sink));
        mRuns.put(call.id(), run);
        mServices.blackboard().requests().write(table -> table.changeInFlight(1));
        run.start();
    }

    /**
     * Notifies a request that its caller disconnected; does nothing if the request is unknown or
     * has ended.
     */
    public void callerDisconnected(RequestId id) {
        RequestRun run = mRuns.get(id);
        if (run != null) {
            run.callerDisconnected();
        }
    }

    private static RequestShape shape(Call call) {
        long fingerprint =
                PromptText.hash(call.prompt()) * 31 + call.service().name().value().hashCode();
        return new RequestShape(
                call.id(),
                call.service().name(),
                call.team(),
                fingerprint,
                Math.max(1, PromptText.tokens(call.prompt())),
                PromptText.blockHashes(call.prompt()),
                call.maxTokens(),
                call.service().firstTokenMillis(),
                call.service().kvBytesPerToken());
    }

    /** Removes the run from the in-flight requests when it ends. */
    private final class ReleasingSink implements ResponseSink {

        private final RequestShape mShape;
        private final ResponseSink mSink;

        ReleasingSink(RequestShape shape, ResponseSink sink) {
            mShape = shape;
            mSink = sink;
        }

        @Override
        public void token(int index, String text) {
            mSink.token(index, text);
        }

        @Override
        public void finished(int tokens, String finishReason) {
            release();
            mAccounting.completed(mShape, tokens);
            mSink.finished(tokens, finishReason);
        }

        @Override
        public void refused(Refusal refusal, int tokensSent) {
            release();
            mSink.refused(refusal, tokensSent);
        }

        private void release() {
            mRuns.remove(mShape.id());
            mAccounting.end(mShape.id());
            mServices.blackboard().requests().write(table -> table.changeInFlight(-1));
        }
    }
}
