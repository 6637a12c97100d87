package org.cyclamenpaddle.store.hosts;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.store.http.PlatformError;

/** The platform's list of entry hosts. */
@FunctionalInterface
public interface HostList {

    /** Reads the list. Does not block, and the future never completes exceptionally. */
    CompletableFuture<Either<PlatformError, HostListing>> hosts();
}
