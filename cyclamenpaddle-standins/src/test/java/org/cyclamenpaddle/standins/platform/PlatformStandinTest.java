package org.cyclamenpaddle.standins.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PlatformStandinTest {

    private PlatformStandin mPlatform;
    private WebClient mClient;

    @BeforeMethod
    public void start() {
        mPlatform = new PlatformStandin();
        mPlatform.start(0);
        mClient =
                WebClient.builder("http://127.0.0.1:" + mPlatform.port())
                        .responseTimeoutMillis(0)
                        .build();
    }

    @AfterMethod
    public void stop() {
        mPlatform.close();
    }

    @Test
    public void conditionalWritesFollowTheProtocol() {
        assertEquals(create("config/service/s", "one").contentUtf8(), "{\"version\":1}");
        AggregatedHttpResponse lost = create("config/service/s", "two");
        assertEquals(lost.status().code(), 409);
        assertEquals(
                lost.contentUtf8(), "{\"reason\":\"conflict\",\"version\":1,\"value\":\"one\"}");
        assertEquals(
                get("/objects?prefix=config/").contentUtf8(),
                "{\"revision\":1,\"objects\":[{\"key\":\"config/service/s\",\"version\":1,"
                        + "\"value\":\"one\"}]}");
        assertEquals(get("/objects/config/service/none").status().code(), 404);
    }

    @Test
    public void pendingWatchCompletesOnChangeAndCountsOnce() {
        CompletableFuture<AggregatedHttpResponse> watch =
                mClient.get("/watch?prefix=config/&after=0&waitMillis=60000").aggregate();
        create("config/service/s", "one");
        assertTrue(watch.join().contentUtf8().contains("\"deleted\":false"));
        assertEquals(mPlatform.calls(CallKind.WATCH), 1);
        assertEquals(mPlatform.calls(CallKind.WRITE), 1);
        mPlatform.compact();
        assertEquals(get("/watch?prefix=&after=0&waitMillis=0").status().code(), 410);
    }

    @Test
    public void lostResponseFollowsAnAppliedWrite() {
        // The platform applies a host's write, and the connection fails before the response. The
        // host cannot distinguish this from a write that never arrived.
        mPlatform.loseResponses(1);
        assertThrows(CompletionException.class, () -> create("k", "one"));
        assertEquals(mPlatform.value("k"), Optional.of("one"));
    }

    @Test
    public void outageHasNoEffectOnObjects() {
        mPlatform.outage(Outage.REFUSE);
        assertEquals(create("k", "one").status().code(), 503);
        mPlatform.outage(Outage.NONE);
        assertEquals(mPlatform.value("k"), Optional.empty());
    }

    @Test
    public void hostListIsAsSet() {
        mPlatform.hosts(List.of(new ListedHost("h1", "127.0.0.1", 7000, 8000, "ahm", "live")), 0);
        assertEquals(
                get("/hosts").contentUtf8(),
                "{\"hosts\":[{\"host\":\"h1\",\"address\":\"127.0.0.1\",\"peerPort\":7000,"
                        + "\"httpPort\":8000,\"domain\":\"ahm\",\"state\":\"live\"}]}");
    }

    private AggregatedHttpResponse create(String key, String value) {
        HttpRequest request =
                HttpRequest.builder()
                        .method(HttpMethod.PUT)
                        .path("/objects/" + key)
                        .header("If-None-Match", "*")
                        .content(MediaType.JSON, "{\"value\": \"" + value + "\"}")
                        .build();
        return mClient.execute(request).aggregate().join();
    }

    private AggregatedHttpResponse get(String path) {
        return mClient.get(path).aggregate().join();
    }
}
