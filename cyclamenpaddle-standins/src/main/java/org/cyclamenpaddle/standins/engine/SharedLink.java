package org.cyclamenpaddle.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Link of limited bandwidth that concurrent transfers share equally. */
final class SharedLink {

    private static final double MICROS_PER_SECOND = 1_000_000.0;

    private final EngineTimer mTimer;
    private final double mBytesPerMicro;
    private final List<Transfer> mTransfers = new ArrayList<>();
    private long mUpdatedMicros;
    private long mScheduleVersion;

    SharedLink(EngineTimer timer, long bytesPerSecond) {
        mTimer = timer;
        mBytesPerMicro = bytesPerSecond / MICROS_PER_SECOND;
    }

    /** An active transfer. */
    static final class Transfer {

        private final Runnable mDone;
        private double mBytesLeft;

        private Transfer(long bytes, Runnable done) {
            mBytesLeft = bytes;
            mDone = done;
        }
    }

    /** Starts a transfer; {@code done} runs when its last byte was transferred. */
    Transfer start(long bytes, Runnable done) {
        progress();
        Transfer transfer = new Transfer(bytes, done);
        mTransfers.add(transfer);
        reschedule();
        return transfer;
    }

    /** Cancels a transfer; no-op if it has ended. */
    void cancel(Transfer transfer) {
        progress();
        mTransfers.remove(transfer);
        reschedule();
    }

    void clear() {
        mTransfers.clear();
        mScheduleVersion++;
    }

    private void progress() {
        long now = mTimer.micros();
        if (!mTransfers.isEmpty()) {
            double each = (now - mUpdatedMicros) * mBytesPerMicro / mTransfers.size();
            mTransfers.forEach(transfer -> transfer.mBytesLeft -= each);
        }
        mUpdatedMicros = now;
    }

    private void reschedule() {
        long version = ++mScheduleVersion;
        mTransfers.stream()
                .mapToDouble(transfer -> transfer.mBytesLeft)
                .min()
                .ifPresent(
                        least -> {
                            double micros = least * mTransfers.size() / mBytesPerMicro;
                            long delay = Math.max(0, (long) Math.ceil(micros));
                            mTimer.schedule(delay, () -> finish(version));
                        });
    }

    private void finish(long version) {
        if (version != mScheduleVersion) {
            return;
        }
        progress();
        List<Transfer> ended =
                mTransfers.stream()
                        .filter(transfer -> transfer.mBytesLeft < 1)
                        .collect(Collectors.toList());
        mTransfers.removeAll(ended);
        reschedule();
        ended.forEach(transfer -> transfer.mDone.run());
    }
}
