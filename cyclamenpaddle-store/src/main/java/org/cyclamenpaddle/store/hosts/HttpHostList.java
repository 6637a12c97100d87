package org.cyclamenpaddle.store.hosts;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.store.http.PlatformConnection;
import org.cyclamenpaddle.store.http.PlatformError;

/** {@link HostList} over HTTP/1.1. */
public final class HttpHostList implements HostList, AutoCloseable {

    private final PlatformConnection mConnection;

    private record HostsBody(List<HostBody> hosts) {}

    private record HostBody(
            String host,
            String address,
            int peerPort,
            int httpPort,
            String domain,
            ListedState state) {
        Optional<ListedHost> listed() {
            try {
                return Optional.of(
                        new ListedHost(
                                new HostId(host),
                                address,
                                peerPort,
                                httpPort,
                                new FailureDomain(domain),
                                state == ListedState.LEAVING));
            } catch (IllegalArgumentException malformed) {
                return Optional.empty();
            }
        }
    }

    private enum ListedState {
        @com.fasterxml.jackson.annotation.JsonProperty("live")
        LIVE,
        @com.fasterxml.jackson.annotation.JsonProperty("leaving")
        LEAVING
    }

    /**
     * Creates the client; nothing is sent yet.
     *
     * @param address IP address of the platform
     * @param port its TCP port
     * @param timeoutMillis response timeout, in milliseconds
     */
    public HttpHostList(String address, int port, long timeoutMillis) {
        mConnection = new PlatformConnection(address, port, timeoutMillis);
    }

    @Override
    public CompletableFuture<Either<PlatformError, HostListing>> hosts() {
        return mConnection.call(HttpRequest.of(HttpMethod.GET, "/hosts"), 0, this::listing);
    }

    @Override
    public void close() {
        mConnection.close();
    }

    private Either<PlatformError, HostListing> listing(AggregatedHttpResponse response) {
        if (!response.status().equals(HttpStatus.OK)) {
            return Either.left(mConnection.rejected(response));
        }
        return mConnection
                .body(response, HostsBody.class)
                .filterOrElse(body -> body.hosts() != null, body -> mConnection.rejected(response))
                .map(body -> listing(body.hosts()));
    }

    private static HostListing listing(List<HostBody> hosts) {
        List<ListedHost> listed =
                hosts.stream().map(HostBody::listed).flatMap(Optional::stream).toList();
        return new HostListing(listed, hosts.size() - listed.size());
    }
}
