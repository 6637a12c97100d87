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
 * Records the decision steps and metrics of one model request, and whether it met its latency
 * targets.
 *
 * <p>A request is in time if its first token met the first-token target and the later tokens met
 * the per-token target on average.
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

    void grantRequested(GrantRequest request) {
        record(
                DecisionStep.GRANT_ASKED,
                request.role().code()
                        + " on "
                        + request.backend()
                        + " for "
                        + request.attempt()
                        + " in "
                        + request.neededInMillis()
                        + " ms, holding "
                        + request.holdMillis()
                        + " ms and "
                        + request.pieces()
                        + " blocks");
    }

    void grantResponded(GrantResponse response) {
        record(
                DecisionStep.GRANT_ANSWERED,
                response.decision()
                        + " by the owner of "
                        + response.backend()
                        + " from "
                        + response.startInMillis()
                        + " to "
                        + response.endInMillis()
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
