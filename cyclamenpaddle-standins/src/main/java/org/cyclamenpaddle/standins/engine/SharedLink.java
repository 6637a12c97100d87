package org.cyclamenpaddle.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Link of limited rate; transfers under way share it equally. */
final class SharedLink {

    private static final double MICROS_PER_SECOND = 1_000_000.0;

    private final EngineTimer mTimer;
    private final double mBytesPerMicro;
    private final List<Transfer> mTransfers = new ArrayList<>();
    private long mUpdatedMicros;
    private long mPlan;

    SharedLink(EngineTimer timer, long bytesPerSecond) {
        mTimer = timer;
        mBytesPerMicro = bytesPerSecond / MICROS_PER_SECOND;
    }

    /** One transfer under way. */
    static final class Transfer {

        private final Runnable mDone;
        private double mBytesLeft;

        private Transfer(long bytes, Runnable done) {
            mBytesLeft = bytes;
            mDone = done;
        }
    }

    /** Starts a transfer; {@code done} runs when its last byte has passed. */
    Transfer start(long bytes, Runnable done) {
        progress();
        Transfer transfer = new Transfer(bytes, done);
        mTransfers.add(transfer);
        plan();
        return transfer;
    }

    /** Ends a transfer early; does nothing if it has ended. */
    void stop(Transfer transfer) {
        progress();
        mTransfers.remove(transfer);
        plan();
    }

    void clear() {
        mTransfers.clear();
        mPlan++;
    }

    private void progress() {
        long now = mTimer.micros();
        if (!mTransfers.isEmpty()) {
            double each = (now - mUpdatedMicros) * mBytesPerMicro / mTransfers.size();
            mTransfers.forEach(transfer -> transfer.mBytesLeft -= each);
        }
        mUpdatedMicros = now;
    }

    private void plan() {
        long plan = ++mPlan;
        mTransfers.stream()
                .mapToDouble(transfer -> transfer.mBytesLeft)
                .min()
                .ifPresent(
                        least -> {
                            double micros = least * mTransfers.size() / mBytesPerMicro;
                            long delay = Math.max(0, (long) Math.ceil(micros));
                            mTimer.schedule(delay, () -> finish(plan));
                        });
    }

    private void finish(long plan) {
        if (plan != mPlan) {
            return;
        }
        progress();
        List<Transfer> ended =
                mTransfers.stream()
                        .filter(transfer -> transfer.mBytesLeft < 1)
                        .collect(Collectors.toList());
        mTransfers.removeAll(ended);
        plan();
        ended.forEach(transfer -> transfer.mDone.run());
    }
}
