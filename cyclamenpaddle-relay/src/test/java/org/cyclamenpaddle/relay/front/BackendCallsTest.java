package org.cyclamenpaddle.relay.front;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.Server;
import java.io.OutputStream;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.engine.http.CallFailure;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendQuery;
import org.cyclamenpaddle.relay.backend.BackendRegistry;
import org.cyclamenpaddle.relay.backend.BackendStage;
import org.cyclamenpaddle.relay.backend.CostSettings;
import org.cyclamenpaddle.relay.backend.WorkSize;
import org.cyclamenpaddle.relay.directive.Directives;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.metric.RelayMetrics;
import org.cyclamenpaddle.relay.wire.BackendCall;
import org.cyclamenpaddle.relay.wire.BackendCaller;
import org.cyclamenpaddle.relay.wire.BackendMessages;
import org.cyclamenpaddle.relay.wire.BackendResponse;
import org.cyclamenpaddle.relay.wire.CallerRequest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that calls are checked again before they are written, and that responses are recorded. */
public class BackendCallsTest {

    private static final Directives PAUSE =
            new Directives(OptionalDouble.empty(), false, OptionalLong.of(3_000), false);
    private static final Directives LEAVING =
            new Directives(OptionalDouble.empty(), false, OptionalLong.empty(), true);

    private final AtomicInteger mArrivals = new AtomicInteger();
    private final AtomicLong mMillis = new AtomicLong();
    private final BackendConnections mConnections = new BackendConnections();
    private Directives mDirectives;
    private Server mServer;
    private BackendRegistry mRegistry;
    private BackendCalls mCalls;
    private Backend mBackend;

    /** Decodes the directives that a test has chosen. */
    private final class Messages implements BackendMessages {

        @Override
        public RequestHeaders request(CallerRequest request, BackendCall call) {
            throw new UnsupportedOperationException();
        }

        @Override
        public RequestHeaders healthCheck(Backend target, String path) {
            throw new UnsupportedOperationException();
        }

        @Override
        public BackendResponse response(ResponseHeaders headers) {
            return new BackendResponse(headers, Optional.empty(), true, false);
        }

        @Override
        public Directives directives(ResponseHeaders headers) {
            return mDirectives;
        }
    }

    @BeforeMethod
    public void start() {
        mArrivals.set(0);
        mMillis.set(1_000);
        mDirectives = Directives.NONE;
        mServer =
                Server.builder()
                        .http(0)
                        .gracefulShutdownTimeoutMillis(0, 0)
                        .serviceUnder(
                                "/",
                                (context, request) -> {
                                    mArrivals.incrementAndGet();
                                    return HttpResponse.of("done");
                                })
                        .build();
        mServer.start().join();
        mBackend =
                new Backend(
                        new BackendId("i-1"),
                        1,
                        new ServiceName("book"),
                        "127.0.0.1",
                        mServer.activeLocalPort(),
                        new FailureDomain("d"),
                        SoftwareVersion.UNSPECIFIED,
                        BackendStage.WHOLE,
                        4,
                        false);
        mRegistry = new BackendRegistry(new FailureDomain("d"), CostSettings.DEFAULTS, () -> 0.5);
        mRegistry.applyListing(Map.of(mBackend.id(), mBackend), 0);
        mCalls =
                new BackendCalls(
                        mConnections,
                        mRegistry,
                        new Messages(),
                        new RelayEventLog(OutputStream.nullOutputStream(), "h", Instant::now),
                        new RelayMetrics(),
                        mMillis::get);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mServer.stop();
    }

    private AggregatedHttpResponse call(boolean keepAlive) {
        return call(keepAlive, BackendCaller.Purpose.WORK);
    }

    private AggregatedHttpResponse call(boolean keepAlive, BackendCaller.Purpose purpose) {
        return mCalls.call(
                        mBackend,
                        new BackendCaller.Options(keepAlive, 5_000, purpose, "test"),
                        HttpRequest.of(HttpMethod.GET, "/"))
                .join();
    }

    @DataProvider
    public Object[][] connections() {
        return new Object[][] {{false}, {true}};
    }

    /**
     * A call waits for its connection while its server asks for no calls, and is sent all the same.
     */
    @Test(dataProvider = "connections")
    public void callIsNotWrittenAfterItsServerHasAskedForNone(boolean keepAlive) {
        mRegistry.directives().record(mBackend, PAUSE, 1_000, 1_000);
        assertWithheld(keepAlive);
        mMillis.set(4_000);
        assertEquals(call(keepAlive).contentUtf8(), "done");
    }

    /**
     * The check runs after the call was written, and a call that has run is reported as not sent.
     */
    @Test(dataProvider = "connections")
    public void withheldCallIsNeverWritten(boolean keepAlive) {
        call(keepAlive);
        mRegistry.directives().record(mBackend, PAUSE, 1_000, 1_000);
        mArrivals.set(0);
        for (int i = 0; i < 500; i++) {
            assertWithheld(keepAlive);
        }
    }

    /** A server that shuts down gets new work, or cannot be told to release what it holds. */
    @Test(dataProvider = "connections")
    public void serverThatLeavesGetsNoWorkButReleases(boolean keepAlive) {
        mRegistry.directives().record(mBackend, LEAVING, 1_000, 1_000);
        assertWithheld(keepAlive);
        assertEquals(call(keepAlive, BackendCaller.Purpose.RELEASE).contentUtf8(), "done");
        mRegistry.directives().record(mBackend, Directives.NONE, 2_000, 2_000);
        mRegistry.applyListing(Map.of(mBackend.id(), mBackend), 2_100);
        assertTrue(
                mRegistry
                        .select(BackendQuery.of(mBackend.service(), WorkSize.PLAIN), 9_000)
                        .isEmpty(),
                "a later response or listing takes the announcement back");
    }

    private void assertWithheld(boolean keepAlive) {
        try {
            call(keepAlive);
            throw new AssertionError("the call was answered");
        } catch (CompletionException failure) {
            assertTrue(CallWithheldException.causes(CallFailure.cause(failure)), "" + failure);
        }
        assertEquals(mArrivals.get(), 0);
    }

    @Test
    public void directivesOfAnyResponseAreRecorded() {
        mDirectives = PAUSE;
        call(false);
        assertTrue(
                mRegistry
                        .select(BackendQuery.of(mBackend.service(), WorkSize.PLAIN), 3_999)
                        .isEmpty());
        assertEquals(
                mRegistry
                        .directives()
                        .waitMillis(BackendQuery.of(mBackend.service(), WorkSize.PLAIN), 1_500),
                OptionalLong.of(2_500));
        assertEquals(
                mRegistry.select(BackendQuery.of(mBackend.service(), WorkSize.PLAIN), 4_000),
                Optional.of(mBackend));
    }

    /** A listing lacks a server for a moment, and the server gets requests within its pause. */
    @Test
    public void directivesOutlastAMissingEntry() {
        mRegistry.directives().record(mBackend, PAUSE, 1_000, 1_000);
        mRegistry.applyListing(Map.of(), 1_100);
        mRegistry.applyListing(Map.of(mBackend.id(), mBackend), 1_200);
        assertTrue(
                mRegistry
                        .select(BackendQuery.of(mBackend.service(), WorkSize.PLAIN), 3_999)
                        .isEmpty());
    }

    /** A restarted server is left out because the process before it had asked for no calls. */
    @Test
    public void directivesEndWithTheIncarnationOfTheServer() {
        mRegistry.directives().record(mBackend, PAUSE, 1_000, 1_000);
        Backend restarted =
                new Backend(
                        mBackend.id(),
                        2,
                        mBackend.service(),
                        mBackend.address(),
                        mBackend.port(),
                        mBackend.domain(),
                        mBackend.version(),
                        mBackend.stage(),
                        mBackend.slots(),
                        false);
        mRegistry.applyListing(Map.of(restarted.id(), restarted), 1_100);
        assertEquals(
                mRegistry.select(BackendQuery.of(restarted.service(), WorkSize.PLAIN), 1_200),
                Optional.of(restarted));
        mRegistry.directives().record(restarted, PAUSE, 1_200, 1_300);
        // A response of the previous process arrives late.
        mRegistry.directives().record(mBackend, Directives.NONE, 1_000, 1_400);
        mRegistry.directives().recordPermits(mBackend, 1, 0, 1_400);
        assertTrue(
                mRegistry
                        .select(BackendQuery.of(restarted.service(), WorkSize.PLAIN), 1_500)
                        .isEmpty(),
                "a late response of the previous incarnation ends the pause");
    }
}
