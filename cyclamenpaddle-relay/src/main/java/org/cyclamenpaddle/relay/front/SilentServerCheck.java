package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendQuery;
import org.cyclamenpaddle.relay.backend.BackendRegistry;
import org.cyclamenpaddle.relay.wire.BackendCaller;
import org.cyclamenpaddle.relay.wire.BackendMessages;
import org.cyclamenpaddle.relay.wire.EngineMessages;

/**
 * Asks a server over a new connection whether it responds, while all servers of a service seem to
 * be silent.
 *
 * <p>Safeguard: something between this host and the servers may lose track of all open connections
 * without a reset. All servers then look paused, though new connections work, and no request would
 * be sent to another one. At most one call for each service is pending. Thread-safe.
 */
public final class SilentServerCheck {

    /** Timeout of a call, in milliseconds; another server is asked after it. */
    private static final long TIMEOUT_MILLIS = 1_000;

    private static final String CAUSE = "silence check";

    private final BackendRegistry mRegistry;
    private final BackendCaller mCalls;
    private final BackendMessages mBackendMessages;
    private final EngineMessages mEngineMessages;
    private final Function<ServiceName, Optional<String>> mHealthPaths;
    private final Clock mClock;
    private final Set<ServiceName> mPending = ConcurrentHashMap.newKeySet();

    /** Servers that were asked and did not respond, until all of their service were asked. */
    private final Set<BackendId> mUnanswered = ConcurrentHashMap.newKeySet();

    /**
     * Creates the check.
     *
     * @param healthPaths path of the health check of a plain service's servers
     */
    public SilentServerCheck(
            BackendRegistry registry,
            BackendCaller calls,
            BackendMessages backendMessages,
            EngineMessages engineMessages,
            Function<ServiceName, Optional<String>> healthPaths,
            Clock clock) {
        mRegistry = registry;
        mCalls = calls;
        mBackendMessages = backendMessages;
        mEngineMessages = engineMessages;
        mHealthPaths = healthPaths;
        mClock = clock;
    }

    /**
     * Asks the servers of a service in turn, unless a call is pending, beginning with the one from
     * which nothing was received for the longest time. A response shows that a server may take
     * requests.
     *
     * @param engines whether the servers are engines, which report without a health check
     */
    void ask(BackendQuery query, boolean engines) {
        Optional<Backend> server =
                next(query)
                        .filter(each -> !mRegistry.directives().restricts(each, mClock.millis()));
        Optional<RequestHeaders> call = server.flatMap(each -> message(each, engines));
        if (call.isPresent() && mPending.add(query.service())) {
            send(server.get(), call.get());
        }
    }

    private Optional<Backend> next(BackendQuery query) {
        Set<BackendId> avoid = new HashSet<>(query.avoid());
        avoid.addAll(mUnanswered);
        Optional<Backend> next = mRegistry.longestSilent(query.avoiding(avoid), mClock.millis());
        if (next.isPresent()) {
            return next;
        }
        // All were asked once; a server that has gone on since responds in the next turn.
        mUnanswered.clear();
        return mRegistry.longestSilent(query, mClock.millis());
    }

    private Optional<RequestHeaders> message(Backend server, boolean engines) {
        return engines
                ? Optional.of(mEngineMessages.report(server))
                : mHealthPaths
                        .apply(server.service())
                        .map(path -> mBackendMessages.healthCheck(server, path));
    }

    private void send(Backend server, RequestHeaders message) {
        mCalls.call(
                        server,
                        new BackendCaller.Options(
                                false, TIMEOUT_MILLIS, BackendCaller.Purpose.WORK, CAUSE),
                        HttpRequest.of(message))
                .whenComplete(
                        (response, failure) -> {
                            boolean responds =
                                    failure == null
                                            && !response.status()
                                                    .equals(HttpStatus.MISDIRECTED_REQUEST);
                            if (responds) {
                                mUnanswered.remove(server.id());
                                mRegistry.recordHeard(server, mClock.millis());
                            } else {
                                mUnanswered.add(server.id());
                            }
                            mPending.remove(server.service());
                        });
    }
}
