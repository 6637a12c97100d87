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

/** Two operators change one backend server at the same moment through two hosts. */
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

    // Both edits name the version that both operators saw. One is made; the other is refused with
    // the winner's spec and change id, and both hosts show the winner's.
    @Test
    public void raceOfEditsHasOneWinnerAndToldLoser() {
        JsonNode seen = mFleet.operator("h1").show("backend", BACKEND);

        CompletableFuture<HttpResponse<String>> first =
                later(() -> edit("h1", seen, 7, "change-1"));
        CompletableFuture<HttpResponse<String>> second =
                later(() -> edit("h2", seen, 9, "change-2"));
        List<HttpResponse<String>> answers =
                Stream.of(first.join(), second.join())
                        .sorted(Comparator.comparing(HttpResponse::statusCode))
                        .toList();

        assertEquals(answers.get(0).statusCode(), 200, answers.get(0).body());
        assertEquals(answers.get(1).statusCode(), 409, answers.get(1).body());
        JsonNode won = json(answers.get(0));
        JsonNode told = json(answers.get(1)).path("winner");
        assertEquals(told, won);
        assertEquals(
                won.path("spec").path("slots").asInt(),
                (int) Map.of("change-1", 7, "change-2", 9).get(won.path("changeId").asText()));
        awaitShown(won);
    }

    // Both operators drain the server. One drain is made; the other finds the server leaving
    // already, which is what its operator wished, and is told the change that did it.
    @Test
    public void raceOfDrainsIsOneChangeThatBothAreTold() {
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
        awaitShown(won);
    }

    private void awaitShown(JsonNode won) {
        for (String host : List.of("h1", "h2")) {
            Await.until(
                    host + " shows " + won,
                    () -> mFleet.operator(host).show("backend", BACKEND).equals(won));
        }
    }

    private HttpResponse<String> edit(String host, JsonNode seen, int slots, String change) {
        String spec = ((ObjectNode) seen.path("spec").deepCopy()).put("slots", slots).toString();
        return mFleet.operator(host)
                .put(
                        "backend",
                        BACKEND,
                        spec,
                        "If-Match",
                        seen.path("version").asText(),
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

    private JsonNode json(HttpResponse<String> answer) {
        return mFleet.caller("h1").problem(answer);
    }

    private static CompletableFuture<HttpResponse<String>> later(
            Supplier<HttpResponse<String>> call) {
        return CompletableFuture.supplyAsync(call);
    }
}
