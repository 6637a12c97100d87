package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.core.config.ServiceSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.GrantResponse;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RetryReason;
import org.cyclamenpaddle.engine.model.EngineFailure;
import org.cyclamenpaddle.engine.model.PrefillResult;
import org.cyclamenpaddle.router.explain.DecisionStep;
import org.cyclamenpaddle.router.metric.RouterMetrics;

/**
 * Tells of one model request what operators want to know: its steps, and whether it was in time.
 *
 * <p>In time means that the first token came within its target, and the tokens after it within
 * theirs on average.
 */
final class RequestJournal {

    private final RequestId mRequest;
    private final ServiceSpec mService;
    private final long mReceivedAt;
    private final StepRecorder mRecorder;
    private final RouterMetrics mMetrics;
    private long mFirstTokenAt = -1;
    private long mLastTokenAt;

    RequestJournal(
            RequestId request,
            ServiceSpec service,
            long receivedAt,
            StepRecorder recorder,
            RouterMetrics metrics) {
        mRequest = request;
        mService = service;
        mReceivedAt = receivedAt;
        mRecorder = recorder;
        mMetrics = metrics;
        mMetrics.recordRequest(service.name());
    }

    void asked(GrantRequest ask) {
        record(
                DecisionStep.GRANT_ASKED,
                ask.role().code()
                        + " on "
                        + ask.backend()
                        + " for "
                        + ask.attempt()
                        + " in "
                        + ask.neededInMillis()
                        + " ms, holding "
                        + ask.holdMillis()
                        + " ms and "
                        + ask.pieces()
                        + " pieces");
    }

    void granted(GrantResponse answer) {
        record(
                DecisionStep.GRANT_ANSWERED,
                answer.decision()
                        + " by the owner of "
                        + answer.backend()
                        + " from "
                        + answer.startInMillis()
                        + " to "
                        + answer.endInMillis()
                        + " ms");
    }

    void step(DecisionStep step, AttemptId attempt, BackendId backend) {
        record(step, backend + " as " + attempt);
    }

    void prefilled(AttemptId attempt, PrefillResult result) {
        record(
                DecisionStep.PREFILL_ENDED,
                attempt + ": " + result.tokens() + " tokens, " + result.cachedTokens() + " cached");
    }

    void failed(AttemptId attempt, EngineFailure failure) {
        record(DecisionStep.RETRIED, "failed " + attempt + ": " + failure);
    }

    void retried(RetryReason reason) {
        record(DecisionStep.RETRIED, reason.code());
    }

    void token(long now) {
        if (mFirstTokenAt < 0) {
            mFirstTokenAt = now;
            mMetrics.firstToken(mService.name(), now - mReceivedAt);
            record(DecisionStep.FIRST_TOKEN, (now - mReceivedAt) + " ms");
        } else {
            mMetrics.interToken(mService.name(), now - mLastTokenAt);
        }
        mLastTokenAt = now;
    }

    void finished(int tokens) {
        boolean inTime = inTime(tokens);
        mMetrics.tokensRelayed(mService.name(), tokens);
        mMetrics.recordResponse(mService.name(), inTime);
        record(DecisionStep.ANSWERED, tokens + " tokens, " + (inTime ? "in time" : "late"));
    }

    void refused(Refusal refusal) {
        mMetrics.recordRefusal(refusal.reason());
        record(DecisionStep.REFUSED, refusal.reason().code() + " " + refusal.detail());
    }

    private boolean inTime(int tokens) {
        if (mFirstTokenAt < 0) {
            return false;
        }
        boolean first = mFirstTokenAt - mReceivedAt <= mService.firstTokenMillis();
        long after = mLastTokenAt - mFirstTokenAt;
        return first && after <= mService.perTokenMillis() * Math.max(0, tokens - 1L);
    }

    private void record(DecisionStep step, String detail) {
        mRecorder.record(mRequest, step, detail);
    }
}
