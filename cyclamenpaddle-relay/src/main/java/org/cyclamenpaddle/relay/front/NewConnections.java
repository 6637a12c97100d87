package org.cyclamenpaddle.relay.front;

import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.metric.RelayMetrics;
import org.cyclamenpaddle.routing.overload.ConnectionGate;

/** Closes new connections of callers unread while the event loop of this host is late. */
@Sharable
public final class NewConnections extends ChannelInboundHandlerAdapter {

    private final EventLoop mLoop;
    private final BooleanSupplier mOthersLive;
    private final RelayEventLog mLog;
    private final RelayMetrics mMetrics;
    private final Clock mClock;
    private final Table<ConnectionGate> mGate;
    private volatile boolean mClosed;

    /**
     * Creates a handler that accepts every connection.
     *
     * @param loop event loop of the connections
     * @param othersLive whether other hosts serve the same callers
     */
    public NewConnections(
            EventLoop loop,
            BooleanSupplier othersLive,
            RelayEventLog log,
            RelayMetrics metrics,
            Clock clock) {
        mLoop = loop;
        mOthersLive = othersLive;
        mLog = log;
        mMetrics = metrics;
        mClock = clock;
        mGate = new Table<>(TableOrder.CONNECTIONS, new ConnectionGate(clock.millis()));
    }

    /** Starts to measure the delay of the event loop. */
    public void start() {
        mLoop.execute(this::schedule);
    }

    /** Stops measuring; connections are decided upon as before. */
    public void stop() {
        mClosed = true;
    }

    /** Puts this handler in front of those that read a connection. */
    public void addTo(ChannelPipeline pipeline) {
        pipeline.addFirst(this);
    }

    private void schedule() {
        if (!mClosed) {
            mLoop.schedule(this::measure, ConnectionGate.INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void measure() {
        long now = mClock.millis();
        boolean othersLive = mOthersLive.getAsBoolean();
        switch (mGate.read(gate -> gate.recordMeasurement(othersLive, now))) {
            case LIMITED ->
                    mLog.log(
                            RelayEvent.CONNECTIONS_LIMITED,
                            mGate.read(ConnectionGate::closed),
                            mGate.read(gate -> Math.round(gate.perSecond())));
            case UNLIMITED ->
                    mLog.log(
                            RelayEvent.CONNECTIONS_UNLIMITED,
                            mGate.read(ConnectionGate::closed),
                            now - mGate.read(ConnectionGate::limitedMillis));
            default -> {}
        }
        schedule();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        long now = mClock.millis();
        if (mGate.read(gate -> gate.tryAccept(now))) {
            context.fireChannelActive();
        } else {
            mMetrics.recordConnectionClosed();
            context.close();
        }
    }
}
