package org.cyclamenpaddle.router.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.cyclamenpaddle.router.fixture.Await;
import org.cyclamenpaddle.router.fixture.TestFleet;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests concurrent changes of one backend server by two operators through two hosts. */
public class RacingEditsTest {

    private static final String BACKEND = "d1";

    private TestFleet mFleet;

    @BeforeMethod
    public void start() {
        mFleet = new TestFleet().engines(1, 2, EngineSettings.DEFAULT).hosts(2).configure();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    // Both edits name the version that both operators read. One is applied; the other is refused
    // with the winner's spec and change id, and both hosts show the winner's.
    @Test
    public void concurrentEditsReportWinnerToLoser() {
        JsonNode base = mFleet.operator("h1").show("backend", BACKEND);

        CompletableFuture<HttpResponse<String>> first =
                later(() -> edit("h1", base, 7, "change-1"));
        CompletableFuture<HttpResponse<String>> second =
                later(() -> edit("h2", base, 9, "change-2"));
        List<HttpResponse<String>> responses =
                Stream.of(first.join(), second.join())
                        .sorted(Comparator.comparing(HttpResponse::statusCode))
                        .toList();

        assertEquals(responses.get(0).statusCode(), 200, responses.get(0).body());
        assertEquals(responses.get(1).statusCode(), 409, responses.get(1).body());
        JsonNode won = json(responses.get(0));
        JsonNode reported = json(responses.get(1)).path("winner");
        assertEquals(reported, won);
        assertEquals(
                won.path("spec").path("slots").asInt(),
                (int) Map.of("change-1", 7, "change-2", 9).get(won.path("changeId").asText()));
        awaitReturnedByAllHosts(won);
    }

    // Both operators drain the server. One drain is applied; the other finds the server already
    // leaving, as its operator requested, and returns the change that did it.
    @Test
    public void concurrentDrainsMakeOneChange() {
        long before = mFleet.platform().revision();

        CompletableFuture<HttpResponse<String>> first = later(() -> drain("h1", "drain-1"));
        CompletableFuture<HttpResponse<String>> second = later(() -> drain("h2", "drain-2"));

        assertEquals(first.join().statusCode(), 200, first.join().body());
        assertEquals(second.join().statusCode(), 200, second.join().body());
        JsonNode won = json(first.join());
        assertEquals(json(second.join()), won);
        assertTrue(won.path("spec").path("leaving").asBoolean());
        assertTrue(List.of("drain-1", "drain-2").contains(won.path("changeId").asText()));
        assertEquals(mFleet.platform().revision(), before + 1, "one write");
        awaitReturnedByAllHosts(won);
    }

    private void awaitReturnedByAllHosts(JsonNode won) {
        for (String host : List.of("h1", "h2")) {
            Await.until(
                    host + " shows " + won,
                    () -> mFleet.operator(host).show("backend", BACKEND).equals(won));
        }
    }

    private HttpResponse<String> edit(String host, JsonNode base, int slots, String change) {
        String spec = ((ObjectNode) base.path("spec").deepCopy()).put("slots", slots).toString();
        return mFleet.operator(host)
                .put(
                        "backend",
                        BACKEND,
                        spec,
                        "If-Match",
                        base.path("version").asText(),
                        "X-Change-Id",
                        change);
    }

    private HttpResponse<String> drain(String host, String change) {
        return mFleet.caller(host)
                .send(
                        "POST",
                        "/operator/v1/backends/" + BACKEND + "/drain",
                        "",
                        "X-Change-Id",
                        change);
    }

    private JsonNode json(HttpResponse<String> response) {
        return mFleet.caller("h1").problem(response);
    }

    private static CompletableFuture<HttpResponse<String>> later(
            Supplier<HttpResponse<String>> call) {
        return CompletableFuture.supplyAsync(call);
    }
}
