package org.cyclamenpaddle.routing.experiment;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.GrantDecision;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.GrantResponse;
import org.cyclamenpaddle.routing.admission.Admitted;
import org.cyclamenpaddle.routing.admission.GrantRequestFactory;
import org.cyclamenpaddle.routing.grant.GrantLedger;
import org.cyclamenpaddle.routing.placement.Candidate;
import org.cyclamenpaddle.routing.placement.PlacementRequest;

/** Drives one request through the model as its host would. */
final class SimulatedRequest {

    private static final int MAX_GRANT_REQUESTS = 4;
    private static final int MAX_OTHER_SERVERS = 4;
    private static final long RETRY_MILLIS = 10;
    private static final GrantRequestFactory GRANT_REQUESTS = GrantRequestFactory.DEFAULTS;

    private final ExperimentRun mRun;
    private final Workload.Request mRequest;
    private final AttemptId mAttempt;
    private final int mHost;
    private final long mArrivedAt;

    private PlacementRequest mPlacement;
    private List<Candidate> mDecodeOrder = List.of();
    private Optional<BackendId> mPrefillServer = Optional.empty();
    private Optional<BackendId> mDecodeServer = Optional.empty();
    private boolean mPrefillStarted;
    private boolean mAccepted;
    private boolean mDone;

    SimulatedRequest(ExperimentRun run, Workload.Request request, AttemptId attempt, int host) {
        mRun = run;
        mRequest = request;
        mAttempt = attempt;
        mHost = host;
        mArrivedAt = run.loop().now();
    }

    void start() {
        mPlacement =
                new PlacementRequest(
                        mRun.service(),
                        mRequest.promptTokens(),
                        mRequest.blockHashes(),
                        pieces(),
                        mRequest.kvBytes(),
                        mRun.expectedTokens(),
                        Cluster.DOMAIN,
                        remainingMillis());
        mRun.admit(mPlacement, mHost).peek(this::admitted).peekLeft(refusal -> refuse());
    }

    private void admitted(Admitted admitted) {
        mDecodeOrder = admitted.decode();
        mRun.loop().after(remainingMillis(), this::deadline);
        if (mRun.strategy().usesOwners()) {
            requestPrefillGrant(admitted.prefill(), 0);
            return;
        }
        Candidate best = admitted.prefill().get(0);
        if (mRun.strategy().reservesDecode() && !reserveShare(best)) {
            refuse();
            return;
        }
        prefillOn(best.backend());
    }

    private void requestPrefillGrant(List<Candidate> order, int index) {
        if (index >= Math.min(MAX_GRANT_REQUESTS, order.size())) {
            refuse();
            return;
        }
        Candidate candidate = order.get(index);
        GrantRequest grantRequest =
                GRANT_REQUESTS.prefill(mAttempt, mPlacement, candidate, remainingMillis());
        requestGrant(
                grantRequest,
                response -> {
                    if (response.decision() != GrantDecision.GRANTED) {
                        requestPrefillGrant(order, index + 1);
                        return;
                    }
                    mPrefillServer = Optional.of(candidate.backend());
                    requestDecodeGrant(response.endInMillis(), 0);
                });
    }

    private void requestDecodeGrant(long prefillEndInMillis, int index) {
        if (index >= Math.min(MAX_GRANT_REQUESTS, mDecodeOrder.size())) {
            refuse();
            return;
        }
        BackendId server = mDecodeOrder.get(index).backend();
        GrantRequest grantRequest =
                decodeGrantRequest(server, mPrefillServer.orElseThrow(), prefillEndInMillis);
        requestGrant(
                grantRequest,
                response -> {
                    if (response.decision() != GrantDecision.GRANTED) {
                        requestDecodeGrant(prefillEndInMillis, index + 1);
                        return;
                    }
                    mDecodeServer = Optional.of(server);
                    prefillOn(mPrefillServer.orElseThrow());
                });
    }

    private GrantRequest decodeGrantRequest(
            BackendId server, BackendId prefill, long prefillEndInMillis) {
        return GRANT_REQUESTS.decode(
                mAttempt,
                mPlacement,
                mRun.cluster().decode(server).spec(),
                mRun.cluster().prefill(prefill).spec(),
                prefillEndInMillis,
                remainingMillis());
    }

    private GrantRequest decodeNowGrantRequest(BackendId server) {
        return GRANT_REQUESTS.decodeNow(
                mAttempt,
                mPlacement,
                mRun.cluster().decode(server).spec(),
                mRun.cluster().prefill(mPrefillServer.orElseThrow()).spec());
    }

    private void requestGrant(GrantRequest grantRequest, Consumer<GrantResponse> then) {
        EventLoop loop = mRun.loop();
        loop.after(
                Scenario.HOP_MILLIS,
                () -> {
                    GrantResponse response =
                            mRun.cluster()
                                    .ledger(grantRequest.backend())
                                    .request(grantRequest, loop.now());
                    loop.after(
                            Scenario.HOP_MILLIS,
                            () -> {
                                if (!mDone) {
                                    then.accept(response);
                                }
                            });
                });
    }

    private boolean reserveShare(Candidate prefill) {
        for (Candidate candidate : mDecodeOrder) {
            GrantLedger share = mRun.cluster().share(mHost, candidate.backend()).orElseThrow();
            GrantRequest grantRequest =
                    decodeGrantRequest(
                            candidate.backend(), prefill.backend(), prefill.predictedMillis());
            if (share.request(grantRequest, mRun.loop().now()).decision()
                    == GrantDecision.GRANTED) {
                mDecodeServer = Optional.of(candidate.backend());
                return true;
            }
        }
        return false;
    }

    private void prefillOn(BackendId server) {
        mPrefillServer = Optional.of(server);
        mPrefillStarted = true;
        PrefillModel.Job job =
                new PrefillModel.Job(
                        mAttempt,
                        mRequest,
                        done -> mRun.loop().after(Scenario.HOP_MILLIS, this::tryDecode));
        mRun.loop()
                .after(
                        Scenario.HOP_MILLIS,
                        () -> {
                            if (!mDone) {
                                mRun.cluster().prefill(server).prefill(job);
                            }
                        });
    }

    private void tryDecode() {
        if (mDone) {
            return;
        }
        BackendId server = mDecodeServer.orElseGet(this::selectDecodeServer);
        mRun.loop().after(Scenario.HOP_MILLIS, () -> decodeOn(server));
    }

    private BackendId selectDecodeServer() {
        return mRun.rankDecode(mPlacement, mHost).get(0).backend();
    }

    private void decodeOn(BackendId server) {
        PrefillModel prefill = mRun.cluster().prefill(mPrefillServer.orElseThrow());
        if (mDone || !prefill.holds(mAttempt)) {
            abandon();
            return;
        }
        if (!mRun.cluster().decode(server).tryHold(mAttempt)) {
            mRun.countFull();
            mRun.loop().after(Scenario.HOP_MILLIS, this::tryOtherServer);
            return;
        }
        mAccepted = true;
        long transfer = prefill.exportMillis(mAttempt, mRequest.kvBytes());
        mRun.loop().after(transfer, () -> generate(server));
    }

    /** The promised slot is late: another server with a free slot is as good. */
    private void tryOtherServer() {
        if (mDone) {
            return;
        }
        if (!mRun.strategy().usesOwners()) {
            mRun.loop().after(RETRY_MILLIS, this::tryDecode);
            return;
        }
        List<BackendId> others =
                mRun.rankDecode(mPlacement, mHost).stream()
                        .map(Candidate::backend)
                        .filter(server -> !mDecodeServer.equals(Optional.of(server)))
                        .limit(MAX_OTHER_SERVERS)
                        .toList();
        requestOtherServer(others, 0);
    }

    private void requestOtherServer(List<BackendId> others, int index) {
        if (index >= others.size()) {
            mRun.loop().after(RETRY_MILLIS, this::tryDecode);
            return;
        }
        BackendId server = others.get(index);
        requestGrant(
                decodeNowGrantRequest(server),
                response -> {
                    if (response.decision() != GrantDecision.GRANTED) {
                        requestOtherServer(others, index + 1);
                        return;
                    }
                    releaseDecodeGrant();
                    mDecodeServer = Optional.of(server);
                    tryDecode();
                });
    }

    private void generate(BackendId server) {
        DecodeModel decode = mRun.cluster().decode(server);
        releasePrefillGrant();
        long startedAt = mRun.loop().now();
        long firstAt = startedAt + decode.tokenMillis();
        decode.start(
                mAttempt,
                mRequest.outputTokens(),
                endedAt -> {
                    double tokenInterval = (double) (endedAt - startedAt) / mRequest.outputTokens();
                    mRun.cluster()
                            .tokenIntervals()
                            .observed(server, decode.batch() + 1, tokenInterval);
                    served(firstAt, endedAt - startedAt);
                });
    }

    private void served(long firstAt, long generatingMillis) {
        boolean inTime = firstAt - mArrivedAt <= Scenario.FIRST_TOKEN_MILLIS;
        boolean fastEnough =
                generatingMillis <= Scenario.PER_TOKEN_MILLIS * (double) mRequest.outputTokens();
        mRun.served(mArrivedAt, inTime && fastEnough, mRequest.outputTokens());
        mDone = true;
        releaseDecodeGrant();
    }

    private void deadline() {
        if (!mAccepted) {
            abandon();
        }
    }

    private void refuse() {
        if (mDone) {
            return;
        }
        mDone = true;
        mRun.refused(mArrivedAt);
        releasePrefillGrant();
        releaseDecodeGrant();
    }

    private void abandon() {
        if (mDone) {
            return;
        }
        mDone = true;
        if (mPrefillStarted) {
            mRun.lost(mArrivedAt);
        } else {
            mRun.refused(mArrivedAt);
        }
        mPrefillServer.ifPresent(server -> mRun.cluster().prefill(server).cancel(mAttempt));
        releasePrefillGrant();
        releaseDecodeGrant();
    }

    private void releasePrefillGrant() {
        if (mRun.strategy().usesOwners()) {
            mPrefillServer.ifPresent(server -> release(mRun.cluster().ledger(server)));
        }
    }

    private void releaseDecodeGrant() {
        if (mRun.strategy().usesOwners()) {
            mDecodeServer.ifPresent(server -> release(mRun.cluster().ledger(server)));
        } else if (mRun.strategy().reservesDecode()) {
            mDecodeServer
                    .flatMap(server -> mRun.cluster().share(mHost, server))
                    .ifPresent(share -> share.release(mAttempt, mRun.loop().now()));
        }
    }

    private void release(GrantLedger ledger) {
        EventLoop loop = mRun.loop();
        loop.after(Scenario.HOP_MILLIS, () -> ledger.release(mAttempt, loop.now()));
    }

    private long remainingMillis() {
        return mArrivedAt + Scenario.FIRST_TOKEN_MILLIS - mRun.loop().now();
    }

    private int pieces() {
        return BackendSpec.piecesFor((long) mRequest.promptTokens() + mRun.expectedTokens());
    }
}
