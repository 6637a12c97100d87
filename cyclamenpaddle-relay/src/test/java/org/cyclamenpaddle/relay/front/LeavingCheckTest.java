package org.cyclamenpaddle.relay.front;

import static org.testng.Assert.assertEquals;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import java.io.OutputStream;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.time.VirtualClock;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendQuery;
import org.cyclamenpaddle.relay.backend.BackendRegistry;
import org.cyclamenpaddle.relay.backend.BackendStage;
import org.cyclamenpaddle.relay.backend.CostSettings;
import org.cyclamenpaddle.relay.backend.WorkSize;
import org.cyclamenpaddle.relay.directive.Directives;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.store.VirtualExecutor;
import org.cyclamenpaddle.relay.wire.BackendCall;
import org.cyclamenpaddle.relay.wire.BackendCaller;
import org.cyclamenpaddle.relay.wire.BackendMessages;
import org.cyclamenpaddle.relay.wire.BackendResponse;
import org.cyclamenpaddle.relay.wire.CallerRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which incarnation of a server an announced shutdown keeps from getting work. */
public class LeavingCheckTest {

    private static final Directives LEAVING =
            new Directives(OptionalDouble.empty(), false, OptionalLong.empty(), true);
    private static final Backend OLD = incarnation(9);

    /** Started later; the clock of its machine is behind. */
    private static final Backend NEW = incarnation(4);

    private final Deque<CompletableFuture<AggregatedHttpResponse>> mChecks = new ArrayDeque<>();
    private VirtualClock mClock;
    private VirtualExecutor mScheduler;
    private BackendRegistry mRegistry;
    private Optional<String> mHealthPath;

    private static final class Messages implements BackendMessages {

        @Override
        public RequestHeaders request(CallerRequest request, BackendCall call) {
            throw new UnsupportedOperationException();
        }

        @Override
        public RequestHeaders healthCheck(Backend target, String path) {
            return RequestHeaders.of(HttpMethod.GET, path);
        }

        @Override
        public BackendResponse response(ResponseHeaders headers) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Directives directives(ResponseHeaders headers) {
            throw new UnsupportedOperationException();
        }
    }

    private static Backend incarnation(long startedMillis) {
        return new Backend(
                new BackendId("i-1"),
                startedMillis,
                new ServiceName("book"),
                "127.0.0.1",
                80,
                new FailureDomain("d"),
                SoftwareVersion.UNSPECIFIED,
                BackendStage.WHOLE,
                4,
                false);
    }

    @BeforeMethod
    public void start() {
        mChecks.clear();
        mHealthPath = Optional.of("/health");
        mClock = new VirtualClock(0);
        mScheduler = new VirtualExecutor(mClock);
        mRegistry = new BackendRegistry(new FailureDomain("d"), CostSettings.DEFAULTS, () -> 0.5);
        LeavingCheck check =
                new LeavingCheck(
                        mRegistry.directives(),
                        this::call,
                        new Messages(),
                        service -> mHealthPath,
                        new RelayEventLog(OutputStream.nullOutputStream(), "h", Instant::now),
                        mScheduler,
                        mClock);
        mRegistry.directives().onLeavingUnconfirmed(check::begin);
        list(OLD);
    }

    private CompletableFuture<AggregatedHttpResponse> call(
            Backend target, BackendCaller.Options options, HttpRequest request) {
        assertEquals(options.purpose(), BackendCaller.Purpose.CHECK);
        assertEquals(options.keepAlive(), false, "an open connection may be of another process");
        CompletableFuture<AggregatedHttpResponse> response = new CompletableFuture<>();
        mChecks.add(response);
        return response;
    }

    private void list(Backend backend) {
        mRegistry.applyListing(Map.of(backend.id(), backend), mClock.millis());
    }

    private void announce(Backend requested) {
        mRegistry.directives().record(requested, LEAVING, mClock.millis(), mClock.millis());
    }

    private void respond(HttpStatus status) {
        mChecks.remove().complete(AggregatedHttpResponse.of(status));
    }

    private void assertWork(Optional<Backend> expected) {
        assertEquals(
                mRegistry.select(BackendQuery.of(OLD.service(), WorkSize.PLAIN), mClock.millis()),
                expected);
    }

    /** A new incarnation gets no work because the one before it had announced its shutdown. */
    @Test
    public void incarnationThatPassesACheckGetsWork() {
        announce(OLD);
        mScheduler.advance(200);
        list(NEW);
        assertWork(Optional.empty());
        respond(HttpStatus.OK);
        assertWork(Optional.of(NEW));
        mScheduler.advance(2 * LeavingCheck.MAX_MILLIS);
        assertEquals(mChecks.size(), 0, "further checks");
    }

    /** A new incarnation that has announced its shutdown before its listing gets work after it. */
    @Test
    public void incarnationThatRepeatsTheAnnouncementGetsNoWork() {
        announce(OLD);
        mRegistry.applyChange(NEW.id(), Optional.of(NEW), mClock.millis());
        announce(NEW);
        respond(HttpStatus.OK);
        mScheduler.advance(2 * LeavingCheck.MAX_MILLIS);
        assertWork(Optional.empty());
        assertEquals(mChecks.size(), 0, "further checks");
    }

    /** The announcement arrives after the listing, for a request that was sent before it. */
    @Test
    public void lateAnnouncementKeepsWorkFromTheListedIncarnation() {
        list(NEW);
        assertWork(Optional.of(NEW));
        announce(OLD);
        assertWork(Optional.empty());
        respond(HttpStatus.OK);
        assertWork(Optional.of(NEW));
    }

    /** A response that was requested before an announcement arrived takes it back. */
    @Test
    public void checkThatIsOlderThanTheLastAnnouncementIsRepeated() {
        announce(OLD);
        list(NEW);
        mScheduler.advance(10);
        announce(OLD);
        respond(HttpStatus.OK);
        assertWork(Optional.empty());
        mScheduler.advance(1_000);
        respond(HttpStatus.OK);
        assertWork(Optional.of(NEW));
    }

    /** A server that shuts down or is full rejects a check, and that counts as passed. */
    @Test
    public void failedCheckIsRepeated() {
        announce(OLD);
        list(NEW);
        respond(HttpStatus.SERVICE_UNAVAILABLE);
        mScheduler.advance(1_000);
        respond(HttpStatus.MISDIRECTED_REQUEST);
        mScheduler.advance(1_000);
        mChecks.remove().completeExceptionally(new IllegalStateException("no connection"));
        assertWork(Optional.empty());
        mScheduler.advance(1_000);
        respond(HttpStatus.OK);
        assertWork(Optional.of(NEW));
    }

    /** A server whose health check never succeeds gets no work for good. */
    @Test
    public void announcementLapsesWithoutAnySuccessfulCheck() {
        announce(OLD);
        list(NEW);
        for (long waited = 0; waited < LeavingCheck.MAX_MILLIS; waited += 1_000) {
            assertWork(Optional.empty());
            respond(HttpStatus.NOT_FOUND);
            mScheduler.advance(1_000);
        }
        assertWork(Optional.of(NEW));
    }

    /** A server without a health check gets no work for good. */
    @Test
    public void announcementLapsesSoonerWithoutHealthChecks() {
        mHealthPath = Optional.empty();
        announce(OLD);
        list(NEW);
        mScheduler.advance(LeavingCheck.WITHOUT_CHECK_MILLIS - 1);
        assertWork(Optional.empty());
        mScheduler.advance(1);
        assertWork(Optional.of(NEW));
    }

    /** The check of an incarnation that has been replaced counts for the next one, or goes on. */
    @Test
    public void nextIncarnationIsCheckedAnew() {
        Backend next = incarnation(5);
        announce(OLD);
        list(NEW);
        list(next);
        respond(HttpStatus.OK);
        assertWork(Optional.empty());
        respond(HttpStatus.OK);
        assertWork(Optional.of(next));
        mScheduler.advance(2 * LeavingCheck.MAX_MILLIS);
        assertEquals(mChecks.size(), 0, "further checks");
    }
}
