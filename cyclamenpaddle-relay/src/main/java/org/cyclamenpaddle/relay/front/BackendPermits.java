package org.cyclamenpaddle.relay.front;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.message.PermitRequest;
import org.cyclamenpaddle.core.message.PermitResponse;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.backend.BackendQuery;
import org.cyclamenpaddle.relay.backend.BackendRegistry;
import org.cyclamenpaddle.relay.backend.LimitedBackend;
import org.cyclamenpaddle.relay.backend.WorkSize;
import org.cyclamenpaddle.relay.quota.Permits;

/**
 * Obtains permits for calls to backend servers that limit the calls of all hosts.
 *
 * <p>While other servers of a service can take a request, permits are requested in advance for
 * later ones, so that no request waits for them. Through the permitted requests this host also
 * learns when a limit has ended.
 */
public final class BackendPermits {

    private final BackendRegistry mRegistry;
    private final Permits mPermits;
    private final Clock mClock;

    public BackendPermits(BackendRegistry registry, Permits permits, Clock clock) {
        mRegistry = registry;
        mPermits = permits;
        mClock = clock;
    }

    /** Requests permits for later requests to the limited servers of a service, if it has any. */
    void requestInAdvance(ServiceName service, WorkSize size) {
        mRegistry
                .directives()
                .limited(BackendQuery.of(service, size), mClock.millis())
                .forEach(this::request);
    }

    /**
     * Requests permits for a request that no server can take without one, from one limited server
     * after the other until one is granted.
     *
     * @param query what the request needs
     * @param loop event loop on which {@code done} is called
     * @param done called with whether permits were granted
     */
    void request(BackendQuery query, EventLoop loop, Listener done) {
        // A permit for a prefill engine alone would not let the request begin.
        List<LimitedBackend> limited =
                mRegistry.directives().limited(query, mClock.millis()).stream()
                        .filter(server -> server.backend().stage().completesRequests())
                        .toList();
        requestNext(limited, 0).thenAcceptAsync(done::ended, loop);
    }

    private CompletableFuture<Boolean> requestNext(List<LimitedBackend> limited, int next) {
        if (next == limited.size()) {
            return CompletableFuture.completedFuture(false);
        }
        return request(limited.get(next))
                .thenCompose(
                        granted ->
                                granted
                                        ? CompletableFuture.completedFuture(true)
                                        : requestNext(limited, next + 1));
    }

    private CompletableFuture<Boolean> request(LimitedBackend limited) {
        if (!mRegistry.directives().beginPermitRequest(limited.backend(), mClock.millis())) {
            return CompletableFuture.completedFuture(false);
        }
        PermitRequest request =
                new PermitRequest(
                        limited.backend().id(),
                        limited.backend().startedMillis(),
                        limited.limitMillihertz(),
                        limited.calls());
        return mPermits.request(request).thenApply(response -> record(limited, response));
    }

    private boolean record(LimitedBackend limited, PermitResponse response) {
        mRegistry
                .directives()
                .recordPermits(
                        limited.backend(),
                        response.granted() ? limited.calls() : 0,
                        response.retryMillis(),
                        mClock.millis());
        return response.granted();
    }

    /** Notified of the end of a request for permits. */
    interface Listener {
        void ended(boolean granted);
    }
}
