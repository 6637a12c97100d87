package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpRequest;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendDirectives;
import org.cyclamenpaddle.relay.directive.DirectiveKind;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.wire.BackendCaller;
import org.cyclamenpaddle.relay.wire.BackendMessages;

/**
 * Finds out whether a server that has started again under its id is the one that announced its
 * shutdown, or its previous incarnation was.
 *
 * <p>Responses do not name the process that sent them, so an announcement that arrives around the
 * listing of a new incarnation may be of either. The new one gets no work until it has responded to
 * a health check without the announcement. Start times are not compared with times of responses:
 * the clocks of machines differ by seconds.
 */
public final class LeavingCheck {

    /** Timeout of a health check, which may wait for a slot of the server, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 1_000;

    /** Time between a health check that showed nothing and the next one, in milliseconds. */
    private static final long INTERVAL_MILLIS = 1_000;

    /**
     * Time after which a server counts as staying that has passed no health check, in milliseconds.
     *
     * <p>A server that leaves has ended before: it serves for seconds after its announcement.
     */
    static final long MAX_MILLIS = 60_000;

    /**
     * The same for a service without health checks, in milliseconds: the store shows a server that
     * leaves with its next heartbeat, about one second later.
     */
    static final long WITHOUT_CHECK_MILLIS = 2_000;

    private static final String CAUSE = "health check";

    private final BackendDirectives mDirectives;
    private final BackendCaller mCalls;
    private final BackendMessages mMessages;
    private final Function<ServiceName, Optional<String>> mHealthPaths;
    private final RelayEventLog mLog;
    private final ScheduledExecutorService mScheduler;
    private final Clock mClock;

    /**
     * Creates the check.
     *
     * @param healthPaths path of the health check of a service's servers
     */
    public LeavingCheck(
            BackendDirectives directives,
            BackendCaller calls,
            BackendMessages messages,
            Function<ServiceName, Optional<String>> healthPaths,
            RelayEventLog log,
            ScheduledExecutorService scheduler,
            Clock clock) {
        mDirectives = directives;
        mCalls = calls;
        mMessages = messages;
        mHealthPaths = healthPaths;
        mLog = log;
        mScheduler = scheduler;
        mClock = clock;
    }

    /** Starts to check a server that counts as leaving without being known to. */
    public void begin(Backend backend) {
        log(backend, "unconfirmed");
        check(backend, mClock.millis());
    }

    private void check(Backend backend, long sinceMillis) {
        if (!mDirectives.leavingUnconfirmed(backend)) {
            return;
        }
        long now = mClock.millis();
        Optional<String> path = mHealthPaths.apply(backend.service());
        if (now - sinceMillis >= (path.isPresent() ? MAX_MILLIS : WITHOUT_CHECK_MILLIS)) {
            confirmStaying(backend, sinceMillis, now);
        } else if (path.isPresent() && mDirectives.tryRelease(backend, now)) {
            request(backend, path.get(), sinceMillis, now);
        } else {
            checkLater(backend, sinceMillis);
        }
    }

    /** Sends the check over a new connection, which only the process that now listens accepts. */
    private void request(Backend backend, String path, long sinceMillis, long sentMillis) {
        mCalls.call(
                        backend,
                        new BackendCaller.Options(
                                false, TIMEOUT_MILLIS, BackendCaller.Purpose.CHECK, CAUSE),
                        HttpRequest.of(mMessages.healthCheck(backend, path)))
                .whenComplete(
                        (response, failure) -> {
                            // A server that leaves may reject the check without an announcement.
                            if (failure == null && response.status().isSuccess()) {
                                confirmStaying(backend, sinceMillis, sentMillis);
                            } else {
                                checkLater(backend, sinceMillis);
                            }
                        });
    }

    private void confirmStaying(Backend backend, long sinceMillis, long sentMillis) {
        if (mDirectives.confirmStaying(backend, sentMillis)) {
            log(backend, "none");
        } else {
            checkLater(backend, sinceMillis);
        }
    }

    private void checkLater(Backend backend, long sinceMillis) {
        mScheduler.schedule(
                () -> check(backend, sinceMillis), INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void log(Backend backend, String value) {
        mLog.log(
                RelayEvent.DIRECTIVE_CHANGED,
                backend.id(),
                backend.startedMillis(),
                DirectiveKind.LEAVING,
                value,
                CAUSE);
    }
}
