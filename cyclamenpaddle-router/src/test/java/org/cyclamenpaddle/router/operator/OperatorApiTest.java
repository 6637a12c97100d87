package org.cyclamenpaddle.router.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.server.Server;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.PresetName;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.core.outcome.RetryReason;
import org.cyclamenpaddle.core.time.VirtualClock;
import org.cyclamenpaddle.router.explain.DecisionLog;
import org.cyclamenpaddle.router.explain.DecisionStep;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

@Test(singleThreaded = true)
public class OperatorApiTest {

    private static final ObjectKey BACKEND = new ObjectKey(ObjectKind.BACKEND, "ahm-d1");
    private static final FailureDomain DOMAIN = new FailureDomain("ahm");

    private FakeAdmin mAdmin;
    private DecisionLog mDecisions;
    private Server mServer;
    private WebClient mClient;

    @BeforeClass
    public void start() {
        mAdmin = new FakeAdmin();
        mDecisions = new DecisionLog(new VirtualClock(0), 4, 4);
        OperatorApi api = new OperatorApi(mAdmin, OperatorApiTest::report, mDecisions::explain);
        mServer =
                Server.builder()
                        .http(new InetSocketAddress("127.0.0.1", 0))
                        .annotatedService(OperatorApi.PREFIX, api)
                        .build();
        mServer.start().join();
        mClient = WebClient.of("http://127.0.0.1:" + mServer.activeLocalPort());
    }

    @BeforeMethod
    public void clear() {
        mAdmin.clear();
    }

    @AfterClass
    public void stop() {
        mServer.stop().join();
    }

    @Test
    public void createsShowsListsAndDeletes() {
        AggregatedHttpResponse created = put("service/malt-reader", "{\"a\": 1}", "none", "c-1");
        JsonNode retrieved = body(request(HttpMethod.GET, "/objects/service/malt-reader"));
        JsonNode listed = body(request(HttpMethod.GET, "/objects/service"));
        AggregatedHttpResponse deleted =
                send(HttpMethod.DELETE, "/objects/service/malt-reader", "", "1", "c-2");

        assertEquals(created.status().code(), 200);
        assertEquals(retrieved.path("version").asLong(), 1);
        assertEquals(retrieved.path("changeId").asText(), "c-1");
        assertEquals(retrieved.path("spec").path("a").asInt(), 1);
        assertEquals(listed.path("objects").get(0).path("name").asText(), "malt-reader");
        assertEquals(body(deleted).path("version").asLong(), 2);
        assertEquals(request(HttpMethod.GET, "/objects/service/malt-reader").status().code(), 404);
    }

    // Two operators edit the same object concurrently. The second change is refused, and the
    // response contains the object as written by the first change, with its change id, so that the
    // second operator can determine which change was applied.
    @Test
    public void conflictResponseContainsTheCurrentObject() {
        put("service/malt-reader", "{\"a\": 1}", "none", "c-1");
        put("service/malt-reader", "{\"a\": 2}", "1", "c-first");

        AggregatedHttpResponse late = put("service/malt-reader", "{\"a\": 3}", "1", "c-second");

        assertEquals(late.status().code(), 409);
        assertEquals(body(late).path("reason").asText(), "conflict");
        assertEquals(body(late).path("outcome").asText(), "not-run");
        assertEquals(body(late).path("winner").path("changeId").asText(), "c-first");
        assertEquals(body(late).path("winner").path("spec").path("a").asInt(), 2);
    }

    @DataProvider
    public Object[][] badChanges() {
        return new Object[][] {
            {"{\"spec\": {}}", "", "c-1", "If-Match"},
            {"{\"spec\": {}}", "latest", "c-1", "version above 0"},
            {"{\"spec\": {}}", "0", "c-1", "version above 0"},
            {"{\"spec\": {}}", "none", "", "X-Change-Id"},
            {"{\"spec\": 7}", "none", "c-1", "spec"},
            {"{", "none", "c-1", "spec"},
        };
    }

    @Test(dataProvider = "badChanges")
    public void refusesAMalformedChange(String body, String version, String change, String detail) {
        AggregatedHttpResponse response =
                send(HttpMethod.PUT, "/objects/service/malt-reader", body, version, change);

        assertEquals(response.status().code(), 400);
        assertTrue(body(response).path("detail").asText().contains(detail), response.contentUtf8());
        assertEquals(mAdmin.list(ObjectKind.SERVICE).join().get(), List.of());
    }

    @Test
    public void returns404ForUnknownKindsNamesAndRequests() {
        for (String path :
                List.of(
                        "/objects/cats",
                        "/objects/service/none",
                        "/objects/in-force/other",
                        "/explain/r-none",
                        "/explain/%20")) {
            AggregatedHttpResponse response = request(HttpMethod.GET, path);
            assertEquals(response.status().code(), 404, path);
            assertEquals(body(response).path("reason").asText(), "unknown-object", path);
        }
    }

    @Test
    public void reportsUnavailablePlatform() {
        mAdmin.setUnavailable();

        AggregatedHttpResponse response = request(HttpMethod.GET, "/objects/service");

        assertEquals(response.status().code(), 503);
        assertEquals(response.headers().get("retry-after"), "1");
    }

    @Test
    public void drainMarksTheBackendServerAsLeaving() {
        mAdmin.write(BACKEND, "{\"slots\": 20, \"leaving\": false}", "c-1");

        AggregatedHttpResponse first = drain();
        AggregatedHttpResponse again = drain();

        assertEquals(body(first).path("spec").path("leaving").asBoolean(), true);
        assertEquals(body(first).path("spec").path("slots").asInt(), 20);
        assertEquals(body(again).path("version").asLong(), body(first).path("version").asLong());
    }

    // An operator drains a backend server while another one changes its slots. Without a retry from
    // the current version, the drain would be refused or the other edit would be lost.
    @Test
    public void drainKeepsARacingEdit() {
        mAdmin.write(BACKEND, "{\"slots\": 20}", "c-1");
        mAdmin.raceOnce("{\"slots\": 18}");

        AggregatedHttpResponse response = drain();

        assertEquals(response.status().code(), 200, response.contentUtf8());
        assertEquals(body(response).path("spec").path("slots").asInt(), 18);
        assertEquals(body(response).path("spec").path("leaving").asBoolean(), true);
    }

    @Test
    public void reportsStatus() {
        JsonNode status = body(request(HttpMethod.GET, "/status"));

        assertEquals(status.path("presetInForce").asText(), "peak");
        assertEquals(status.path("hostsAlive").asInt(), 2);
        assertEquals(status.path("hostsInForce").asInt(), 1);
        assertEquals(status.path("hosts").size(), 3);
        assertEquals(status.path("backends").get(0).path("role").asText(), "DECODE");
        assertEquals(status.path("refusals").path("queue-full").asLong(), 4);
        assertEquals(status.path("retries").path("engine-full").asLong(), 5);
    }

    @Test
    public void explainsARequest() {
        mDecisions.record(new RequestId("r-1"), DecisionStep.GRANT_ASKED, "ahm-d1");

        JsonNode explained = body(request(HttpMethod.GET, "/explain/r-1"));

        assertEquals(explained.path("request").asText(), "r-1");
        assertEquals(explained.path("decisions").get(0).path("step").asText(), "grant-asked");
    }

    private static StatusReport report() {
        return new StatusReport(
                new HostId("e1"),
                Optional.of(new PresetName("peak")),
                7,
                true,
                List.of(
                        new HostStatus(new HostId("e1"), DOMAIN, HostState.ALIVE, true, 7),
                        new HostStatus(new HostId("e2"), DOMAIN, HostState.ALIVE, false, 6),
                        new HostStatus(new HostId("e3"), DOMAIN, HostState.DEAD, true, 7)),
                List.of(
                        new BackendStatus(
                                new BackendId("ahm-d1"),
                                DOMAIN,
                                Optional.of(new ServiceName("malt-reader")),
                                Optional.of(BackendRole.DECODE),
                                Optional.of(new HostId("e1")),
                                true,
                                20,
                                3,
                                false,
                                false)),
                Map.of(RefusalReason.QUEUE_FULL, 4L),
                Map.of(RetryReason.ENGINE_FULL, 5L));
    }

    private AggregatedHttpResponse request(HttpMethod method, String path) {
        return mClient.execute(RequestHeaders.of(method, OperatorApi.PREFIX + path))
                .aggregate()
                .join();
    }

    private AggregatedHttpResponse drain() {
        return send(HttpMethod.POST, "/backends/ahm-d1/drain", "", "", "c-drain");
    }

    private AggregatedHttpResponse put(String path, String spec, String version, String change) {
        String body = "{\"spec\": " + spec + "}";
        return send(HttpMethod.PUT, "/objects/" + path, body, version, change);
    }

    private AggregatedHttpResponse send(
            HttpMethod method, String path, String body, String version, String change) {
        RequestHeadersBuilder headers = RequestHeaders.builder(method, OperatorApi.PREFIX + path);
        if (version.equals("none")) {
            headers.add("if-none-match", "*");
        } else if (!version.isEmpty()) {
            headers.add("if-match", version);
        }
        if (!change.isEmpty()) {
            headers.add("x-change-id", change);
        }
        return mClient.execute(headers.build(), body).aggregate().join();
    }

    private static JsonNode body(AggregatedHttpResponse response) {
        return OperatorJson.read(response.contentUtf8()).orElseThrow();
    }
}
