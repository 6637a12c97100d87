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

/** One request on its way through the model, as its host drives it. */
final class RequestRun {

    private static final int MOST_ASKS = 4;
    private static final int MOST_MOVES = 4;
    private static final long RETRY_MILLIS = 10;
    private static final GrantRequestFactory ASKS = GrantRequestFactory.DEFAULTS;

    private final ExperimentRun mRun;
    private final Workload.Request mRequest;
    private final AttemptId mAttempt;
    private final int mHost;
    private final long mArrivedAt;

    private PlacementRequest mPlacement;
    private List<Candidate> mDecodeOrder = List.of();
    private Optional<BackendId> mPrefillServer = Optional.empty();
    private Optional<BackendId> mDecodeServer = Optional.empty();
    private boolean mPrefillBegun;
    private boolean mAccepted;
    private boolean mOver;

    RequestRun(ExperimentRun run, Workload.Request request, AttemptId attempt, int host) {
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
                        left());
        mRun.admit(mPlacement, mHost).peek(this::admitted).peekLeft(refusal -> refuse());
    }

    private void admitted(Admitted admitted) {
        mDecodeOrder = admitted.decode();
        mRun.loop().after(left(), this::deadline);
        if (mRun.strategy().usesOwners()) {
            askPrefill(admitted.prefill(), 0);
            return;
        }
        Candidate best = admitted.prefill().get(0);
        if (mRun.strategy().reservesDecode() && !reserveShare(best)) {
            refuse();
            return;
        }
        prefillOn(best.backend());
    }

    private void askPrefill(List<Candidate> order, int index) {
        if (index >= Math.min(MOST_ASKS, order.size())) {
            refuse();
            return;
        }
        Candidate candidate = order.get(index);
        GrantRequest ask = ASKS.prefill(mAttempt, mPlacement, candidate, left());
        ask(
                ask,
                answer -> {
                    if (answer.decision() != GrantDecision.GRANTED) {
                        askPrefill(order, index + 1);
                        return;
                    }
                    mPrefillServer = Optional.of(candidate.backend());
                    askDecode(answer.endInMillis(), 0);
                });
    }

    private void askDecode(long prefillEndInMillis, int index) {
        if (index >= Math.min(MOST_ASKS, mDecodeOrder.size())) {
            refuse();
            return;
        }
        BackendId server = mDecodeOrder.get(index).backend();
        GrantRequest ask = decodeAsk(server, mPrefillServer.orElseThrow(), prefillEndInMillis);
        ask(
                ask,
                answer -> {
                    if (answer.decision() != GrantDecision.GRANTED) {
                        askDecode(prefillEndInMillis, index + 1);
                        return;
                    }
                    mDecodeServer = Optional.of(server);
                    prefillOn(mPrefillServer.orElseThrow());
                });
    }

    private GrantRequest decodeAsk(BackendId server, BackendId prefill, long prefillEndInMillis) {
        return ASKS.decode(
                mAttempt,
                mPlacement,
                mRun.cluster().decode(server).spec(),
                mRun.cluster().prefill(prefill).spec(),
                prefillEndInMillis,
                left());
    }

    private GrantRequest decodeNowAsk(BackendId server) {
        return ASKS.decodeNow(
                mAttempt,
                mPlacement,
                mRun.cluster().decode(server).spec(),
                mRun.cluster().prefill(mPrefillServer.orElseThrow()).spec());
    }

    private void ask(GrantRequest ask, Consumer<GrantResponse> then) {
        EventLoop loop = mRun.loop();
        loop.after(
                Scenario.HOP_MILLIS,
                () -> {
                    GrantResponse answer =
                            mRun.cluster().ledger(ask.backend()).request(ask, loop.now());
                    loop.after(
                            Scenario.HOP_MILLIS,
                            () -> {
                                if (!mOver) {
                                    then.accept(answer);
                                }
                            });
                });
    }

    private boolean reserveShare(Candidate prefill) {
        for (Candidate candidate : mDecodeOrder) {
            GrantLedger share = mRun.cluster().share(mHost, candidate.backend()).orElseThrow();
            GrantRequest ask =
                    decodeAsk(candidate.backend(), prefill.backend(), prefill.predictedMillis());
            if (share.request(ask, mRun.loop().now()).decision() == GrantDecision.GRANTED) {
                mDecodeServer = Optional.of(candidate.backend());
                return true;
            }
        }
        return false;
    }

    private void prefillOn(BackendId server) {
        mPrefillServer = Optional.of(server);
        mPrefillBegun = true;
        PrefillModel.Job job =
                new PrefillModel.Job(
                        mAttempt,
                        mRequest,
                        done -> mRun.loop().after(Scenario.HOP_MILLIS, this::tryDecode));
        mRun.loop()
                .after(
                        Scenario.HOP_MILLIS,
                        () -> {
                            if (!mOver) {
                                mRun.cluster().prefill(server).prefill(job);
                            }
                        });
    }

    private void tryDecode() {
        if (mOver) {
            return;
        }
        BackendId server = mDecodeServer.orElseGet(this::freshChoice);
        mRun.loop().after(Scenario.HOP_MILLIS, () -> decodeOn(server));
    }

    private BackendId freshChoice() {
        return mRun.rankDecode(mPlacement, mHost).get(0).backend();
    }

    private void decodeOn(BackendId server) {
        PrefillModel prefill = mRun.cluster().prefill(mPrefillServer.orElseThrow());
        if (mOver || !prefill.holds(mAttempt)) {
            giveUp();
            return;
        }
        if (!mRun.cluster().decode(server).tryHold(mAttempt)) {
            mRun.countFull();
            mRun.loop().after(Scenario.HOP_MILLIS, this::decodeElsewhere);
            return;
        }
        mAccepted = true;
        long transfer = prefill.exportMillis(mAttempt, mRequest.kvBytes());
        mRun.loop().after(transfer, () -> generate(server));
    }

    /** The promised slot is late: another server that has one now is as good. */
    private void decodeElsewhere() {
        if (mOver) {
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
                        .limit(MOST_MOVES)
                        .toList();
        askToMove(others, 0);
    }

    private void askToMove(List<BackendId> others, int index) {
        if (index >= others.size()) {
            mRun.loop().after(RETRY_MILLIS, this::tryDecode);
            return;
        }
        BackendId server = others.get(index);
        ask(
                decodeNowAsk(server),
                answer -> {
                    if (answer.decision() != GrantDecision.GRANTED) {
                        askToMove(others, index + 1);
                        return;
                    }
                    endDecodeGrant();
                    mDecodeServer = Optional.of(server);
                    tryDecode();
                });
    }

    private void generate(BackendId server) {
        DecodeModel decode = mRun.cluster().decode(server);
        endPrefillGrant();
        long begunAt = mRun.loop().now();
        long firstAt = begunAt + decode.tokenMillis();
        decode.start(
                mAttempt,
                mRequest.outputTokens(),
                endedAt -> {
                    double pace = (double) (endedAt - begunAt) / mRequest.outputTokens();
                    mRun.cluster().pace().observed(server, decode.batch() + 1, pace);
                    served(firstAt, endedAt - begunAt);
                });
    }

    private void served(long firstAt, long generatingMillis) {
        boolean inTime = firstAt - mArrivedAt <= Scenario.FIRST_TOKEN_MILLIS;
        boolean swift =
                generatingMillis <= Scenario.PER_TOKEN_MILLIS * (double) mRequest.outputTokens();
        mRun.served(mArrivedAt, inTime && swift, mRequest.outputTokens());
        mOver = true;
        endDecodeGrant();
    }

    private void deadline() {
        if (!mAccepted) {
            giveUp();
        }
    }

    private void refuse() {
        if (mOver) {
            return;
        }
        mOver = true;
        mRun.refused(mArrivedAt);
        endPrefillGrant();
        endDecodeGrant();
    }

    private void giveUp() {
        if (mOver) {
            return;
        }
        mOver = true;
        if (mPrefillBegun) {
            mRun.lost(mArrivedAt);
        } else {
            mRun.refused(mArrivedAt);
        }
        mPrefillServer.ifPresent(server -> mRun.cluster().prefill(server).cancel(mAttempt));
        endPrefillGrant();
        endDecodeGrant();
    }

    private void endPrefillGrant() {
        if (mRun.strategy().usesOwners()) {
            mPrefillServer.ifPresent(server -> end(mRun.cluster().ledger(server)));
        }
    }

    private void endDecodeGrant() {
        if (mRun.strategy().usesOwners()) {
            mDecodeServer.ifPresent(server -> end(mRun.cluster().ledger(server)));
        } else if (mRun.strategy().reservesDecode()) {
            mDecodeServer
                    .flatMap(server -> mRun.cluster().share(mHost, server))
                    .ifPresent(share -> share.release(mAttempt, mRun.loop().now()));
        }
    }

    private void end(GrantLedger ledger) {
        EventLoop loop = mRun.loop();
        loop.after(Scenario.HOP_MILLIS, () -> ledger.release(mAttempt, loop.now()));
    }

    private long left() {
        return mArrivedAt + Scenario.FIRST_TOKEN_MILLIS - mRun.loop().now();
    }

    private int pieces() {
        return BackendSpec.piecesFor((long) mRequest.promptTokens() + mRun.expectedTokens());
    }
}
