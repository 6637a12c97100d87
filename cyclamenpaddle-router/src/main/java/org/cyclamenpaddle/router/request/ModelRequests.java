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

/** The model requests of this host, from the front's call to the last token. */
public final class ModelRequests {

    private final RequestServices mServices;
    private final RequestEnvironment mEnvironment;
    private final RequestSettings mSettings;
    private final StepRecorder mRecorder;
    private final RequestAccounting mLearning;
    private final Map<RequestId, RequestRun> mRuns = new ConcurrentHashMap<>();

    /**
     * A model request as the front parsed it.
     *
     * @param id identity given by the front
     * @param service the service addressed
     * @param team the caller's team
     * @param prompt its text
     * @param maxTokens most tokens to generate
     */
    public record Call(
            RequestId id, ServiceSpec service, TeamName team, String prompt, int maxTokens) {}

    /**
     * Creates the requests of a host that has none yet.
     *
     * @param services what runs use
     * @param environment what state machines decide by
     * @param settings bounds on the steps of a request
     * @param recorder keeps the steps for operators
     * @param learning learns from answers
     */
    public ModelRequests(
            RequestServices services,
            RequestEnvironment environment,
            RequestSettings settings,
            StepRecorder recorder,
            RequestAccounting learning) {
        mServices = services;
        mEnvironment = environment;
        mSettings = settings;
        mRecorder = recorder;
        mLearning = learning;
    }

    /** Starts a request; its answer goes to the sink. */
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

    /** Tells a request that its caller has gone; unknown and ended requests are left alone. */
    public void callerDisconnected(RequestId id) {
        RequestRun run = mRuns.get(id);
        if (run != null) {
            run.callerGone();
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

    /** Forgets the run when it ends. */
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
            mLearning.completed(mShape, tokens);
            mSink.finished(tokens, finishReason);
        }

        @Override
        public void refused(Refusal refusal, int tokensSent) {
            release();
            mSink.refused(refusal, tokensSent);
        }

        private void release() {
            mRuns.remove(mShape.id());
            mLearning.end(mShape.id());
            mServices.blackboard().requests().write(table -> table.changeInFlight(-1));
        }
    }
}
