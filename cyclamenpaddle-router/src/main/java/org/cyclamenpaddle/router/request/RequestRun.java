package org.cyclamenpaddle.router.request;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.function.LongFunction;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.engine.model.DecodeCall;
import org.cyclamenpaddle.engine.model.EngineFailure;
import org.cyclamenpaddle.engine.model.EngineStreamListener;
import org.cyclamenpaddle.engine.model.PrefillCall;
import org.cyclamenpaddle.engine.model.PrefillResult;
import org.cyclamenpaddle.engine.model.PrefillSource;
import org.cyclamenpaddle.engine.model.StreamHandle;
import org.cyclamenpaddle.router.explain.DecisionStep;
import org.cyclamenpaddle.router.worker.SerialExecutor;
import org.cyclamenpaddle.routing.request.RequestEffect;
import org.cyclamenpaddle.routing.request.RequestEffectHandler;
import org.cyclamenpaddle.routing.request.RequestMachine;
import org.cyclamenpaddle.routing.request.RequestShape;
import org.cyclamenpaddle.routing.request.StepFailure;

/**
 * Runs one model request: feeds events to its state machine and performs the resulting effects.
 *
 * <p>All events pass through one serial executor, so tokens reach the sink in the order in which
 * the state machine emitted them, whichever threads deliver the engines' responses.
 */
final class RequestRun implements RequestEffectHandler {

    private static final int PRIORITY = 0;

    private final RequestShape mShape;
    private final String mPrompt;
    private final RequestServices mServices;
    private final RequestMachine mMachine;
    private final RequestJournal mJournal;
    private final ResponseSink mSink;
    private final SerialExecutor mSerial;
    private final Set<AttemptId> mStartedAttempts = new HashSet<>();
    private Optional<ScheduledFuture<?>> mTimer = Optional.empty();
    private Optional<StreamHandle> mStream = Optional.empty();

    RequestRun(
            RequestShape shape,
            String prompt,
            RequestServices services,
            RequestMachine machine,
            RequestJournal journal,
            ResponseSink sink) {
        mShape = shape;
        mPrompt = prompt;
        mServices = services;
        mMachine = machine;
        mJournal = journal;
        mSink = sink;
        mSerial = new SerialExecutor(services.workers());
    }

    void start() {
        feed(mMachine::start);
    }

    void callerDisconnected() {
        feed(mMachine::onCallerDisconnected);
    }

    private void feed(LongFunction<List<RequestEffect>> event) {
        mSerial.execute(
                () ->
                        event.apply(mServices.clock().millis())
                                .forEach(effect -> effect.perform(this)));
    }

    private Optional<BackendSpec> spec(BackendId backend) {
        return Optional.ofNullable(mServices.blackboard().view().backends().get(backend));
    }

    @Override
    public void requestGrant(RequestEffect.RequestGrant effect) {
        mJournal.grantRequested(effect.request());
        mServices.blackboard().requests().write(table -> table.grantRequested(effect.request()));
        mServices
                .grants()
                .request(effect.request())
                .thenAccept(
                        response -> {
                            mJournal.grantResponded(response);
                            feed(now -> mMachine.onGrantResponse(response, now));
                        });
    }

    @Override
    public void releaseGrant(RequestEffect.ReleaseGrant effect) {
        mServices.blackboard().requests().write(table -> table.grantReleased(effect.attempt()));
        mServices.grants().release(effect.attempt(), effect.backend());
    }

    @Override
    public void startPrefill(RequestEffect.StartPrefill effect) {
        mJournal.step(DecisionStep.PREFILL_STARTED, effect.attempt(), effect.backend());
        AttemptId attempt = effect.attempt();
        Optional<BackendSpec> engine = spec(effect.backend());
        if (engine.isEmpty()) {
            feed(now -> mMachine.onPrefillFailed(attempt, StepFailure.FULL, now));
            return;
        }
        attemptStarted(attempt, effect.backend());
        PrefillCall call =
                new PrefillCall(attempt, mPrompt, effect.prior(), PRIORITY, effect.timeoutMillis());
        mServices
                .clients()
                .engine(engine.get())
                .prefill(call)
                .thenAccept(
                        response ->
                                response.peek(result -> prefilled(effect, result))
                                        .peekLeft(failure -> prefillFailed(effect, failure)));
    }

    private void prefilled(RequestEffect.StartPrefill effect, PrefillResult result) {
        int computed = Math.max(0, result.tokens() - result.cachedTokens());
        mJournal.prefilled(effect.attempt(), result);
        mServices.metrics().prefillComputed(mShape.service(), computed);
        mServices.prefixes().onPrefilled(effect.backend(), mShape.blockHashes());
        feed(now -> mMachine.onPrefillDone(effect.attempt(), computed, result.resultMillis(), now));
    }

    private void prefillFailed(RequestEffect.StartPrefill effect, EngineFailure failure) {
        mJournal.failed(effect.attempt(), failure);
        StepFailure step = EngineFailures.fromEngine(failure);
        feed(now -> mMachine.onPrefillFailed(effect.attempt(), step, now));
    }

    @Override
    public void startDecode(RequestEffect.StartDecode effect) {
        mJournal.step(DecisionStep.PLACED, effect.attempt(), effect.backend());
        Optional<BackendSpec> engine = spec(effect.backend());
        Optional<BackendSpec> source = spec(effect.sourceBackend());
        if (engine.isEmpty() || source.isEmpty()) {
            feed(now -> mMachine.onStreamFailed(effect.attempt(), StepFailure.FULL, now));
            return;
        }
        attemptStarted(effect.attempt(), effect.backend());
        PrefillSource from =
                new PrefillSource(source.get().address(), source.get().port(), effect.source());
        DecodeCall call =
                new DecodeCall(
                        effect.attempt(),
                        from,
                        effect.firstIndex(),
                        effect.maxTokens(),
                        PRIORITY,
                        effect.transferMillis());
        replaceStream(
                mServices
                        .clients()
                        .engine(engine.get())
                        .decode(call, new Listener(effect.attempt())));
    }

    @Override
    public void resume(RequestEffect.Resume effect) {
        mJournal.step(DecisionStep.RESUMED, effect.attempt(), effect.backend());
        Optional<BackendSpec> engine = spec(effect.backend());
        if (engine.isEmpty()) {
            feed(now -> mMachine.onStreamFailed(effect.attempt(), StepFailure.UNREACHABLE, now));
            return;
        }
        replaceStream(
                mServices
                        .clients()
                        .engine(engine.get())
                        .resume(
                                effect.attempt(),
                                effect.fromIndex(),
                                new Listener(effect.attempt())));
    }

    @Override
    public void cancel(RequestEffect.Cancel effect) {
        mJournal.step(DecisionStep.CANCELLED, effect.attempt(), effect.backend());
        attemptEnded(effect.attempt());
        spec(effect.backend())
                .ifPresent(engine -> mServices.canceller().cancel(engine, effect.attempt()));
    }

    @Override
    public void emit(RequestEffect.Emit effect) {
        mJournal.token(mServices.clock().millis());
        mSink.token(effect.index(), effect.text());
    }

    @Override
    public void finish(RequestEffect.Finish effect) {
        releaseResources();
        mJournal.finished(effect.tokens());
        mSink.finished(effect.tokens(), effect.finishReason());
    }

    @Override
    public void refuse(RequestEffect.Refuse effect) {
        releaseResources();
        mJournal.refused(effect.refusal());
        mSink.refused(effect.refusal(), effect.tokensSent());
    }

    @Override
    public void setTimer(RequestEffect.SetTimer effect) {
        mTimer.ifPresent(timer -> timer.cancel(false));
        mTimer =
                Optional.of(
                        mServices
                                .workers()
                                .schedule(
                                        effect.delayMillis(),
                                        () ->
                                                feed(
                                                        now ->
                                                                mMachine.onTimer(
                                                                        effect.kind(),
                                                                        effect.generation(),
                                                                        now))));
    }

    @Override
    public void countRetry(RequestEffect.CountRetry effect) {
        mJournal.retried(effect.reason());
        mServices.metrics().recordRetry(effect.reason());
    }

    @Override
    public void countWastedPrefill(RequestEffect.CountWastedPrefill effect) {
        mServices.metrics().prefillWasted(mShape.service(), effect.tokens());
    }

    private void attemptStarted(AttemptId attempt, BackendId backend) {
        mStartedAttempts.add(attempt);
        mServices.blackboard().backends().write(table -> table.inFlight(backend, 1));
        mServices.blackboard().requests().write(table -> table.started(attempt, backend));
        mServices
                .blackboard()
                .quarantine()
                .write(table -> table.started(mShape.fingerprint(), backend));
    }

    private void attemptEnded(AttemptId attempt) {
        mServices
                .blackboard()
                .requests()
                .read(table -> table.ended(attempt))
                .ifPresent(this::detachFromBackend);
    }

    private void detachFromBackend(BackendId backend) {
        mServices.blackboard().backends().write(table -> table.inFlight(backend, -1));
        mServices
                .blackboard()
                .quarantine()
                .write(table -> table.ended(mShape.fingerprint(), backend));
    }

    private void replaceStream(StreamHandle stream) {
        mStream.ifPresent(StreamHandle::close);
        mStream = Optional.of(stream);
    }

    private void releaseResources() {
        mTimer.ifPresent(timer -> timer.cancel(false));
        mStream.ifPresent(StreamHandle::close);
        mStream = Optional.empty();
        mStartedAttempts.forEach(this::attemptEnded);
    }

    /**
     * Forwards the events of one stream. A stream that has been replaced is closed and delivers no
     * more events.
     */
    private final class Listener implements EngineStreamListener {

        private final AttemptId mAttempt;

        Listener(AttemptId attempt) {
            mAttempt = attempt;
        }

        @Override
        public void onImported(long bytes) {
            feed(now -> mMachine.onImported(mAttempt, now));
        }

        @Override
        public void onToken(int index, String text) {
            feed(now -> mMachine.onToken(mAttempt, index, text, now));
        }

        @Override
        public void onEnd(int tokens, String finishReason) {
            feed(now -> mMachine.onEnd(mAttempt, tokens, finishReason, now));
        }

        @Override
        public void onFailed(EngineFailure failure) {
            failed(EngineFailures.fromEngine(failure), failure);
        }

        @Override
        public void onBroken(EngineFailure failure) {
            failed(EngineFailures.fromConnection(failure), failure);
        }

        private void failed(StepFailure step, EngineFailure failure) {
            mJournal.failed(mAttempt, failure);
            feed(now -> mMachine.onStreamFailed(mAttempt, step, now));
        }
    }
}
