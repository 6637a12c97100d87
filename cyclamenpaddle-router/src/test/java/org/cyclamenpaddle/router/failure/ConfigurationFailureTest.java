package org.cyclamenpaddle.router.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.cyclamenpaddle.router.fixture.Await;
import org.cyclamenpaddle.router.fixture.Caller;
import org.cyclamenpaddle.router.fixture.Operator;
import org.cyclamenpaddle.router.fixture.TestFleet;
import org.cyclamenpaddle.standins.engine.CompletionText;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.cyclamenpaddle.standins.platform.Outage;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** An accepted preset is in force everywhere and never reverts, whatever the platform does. */
public class ConfigurationFailureTest {

    private static final String PROMPT = "Contract summary for a broker. ";

    private TestFleet mFleet;

    @BeforeMethod
    public void start() {
        mFleet = new TestFleet().engines(1, 1, EngineSettings.DEFAULT).hosts(3).configured();
        mFleet.operator("h1").create("preset", "peak", presetLike("peak"));
        mFleet.operator("h1").create("preset", "maintenance", presetLike("maintenance"));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    // Two operators at two hosts put different presets in force at the same moment, both having
    // seen the same version. One wins; the other is told who won, and every host follows the
    // winner.
    @Test
    public void raceOfPresetsHasOneWinnerAndToldLoser() {
        long seen = mFleet.operator("h1").show("in-force", "preset").path("version").asLong();

        CompletableFuture<HttpResponse<String>> first =
                CompletableFuture.supplyAsync(() -> use("h1", "peak", seen));
        CompletableFuture<HttpResponse<String>> second =
                CompletableFuture.supplyAsync(() -> use("h2", "maintenance", seen));

        List<HttpResponse<String>> answers = List.of(first.join(), second.join());
        List<Integer> codes =
                answers.stream()
                        .map(HttpResponse::statusCode)
                        .sorted()
                        .collect(Collectors.toList());
        assertEquals(codes, List.of(200, 409));
        String winner = answers.get(0).statusCode() == 200 ? "peak" : "maintenance";
        HttpResponse<String> lost = answers.get(answers.get(0).statusCode() == 409 ? 0 : 1);
        JsonNode told = mFleet.caller("h1").problem(lost).path("winner").path("spec");
        assertEquals(told.path("preset").asText(), winner, lost.body());
        awaitInForce(winner);
    }

    // One operator deletes a preset while another puts it in force at another host. Each check
    // passes
    // before the other's write in some of the rounds. Whoever wins, the preset in force must exist
    // afterwards, or every host would refuse all requests.
    @Test
    public void presetInForceSurvivesRacingDeletion() {
        for (int round = 0; round < 12; round++) {
            String preset = "race-" + round;
            mFleet.operator("h1").create("preset", preset, presetLike(preset));
            long seen = mFleet.operator("h1").show("in-force", "preset").path("version").asLong();
            long version = mFleet.operator("h1").show("preset", preset).path("version").asLong();

            CompletableFuture<HttpResponse<String>> used =
                    CompletableFuture.supplyAsync(() -> use("h1", preset, seen));
            CompletableFuture<HttpResponse<String>> deleted =
                    CompletableFuture.supplyAsync(
                            () -> mFleet.operator("h2").delete("preset", preset, version));

            boolean inForce = used.join().statusCode() == 200;
            deleted.join();
            boolean exists = mFleet.platform().value("config/preset/" + preset).isPresent();
            assertTrue(exists || !inForce, "round " + round + ": preset in force is gone");
        }
    }

    // The platform puts the preset in force, but its answer to the host is lost. The host finds its
    // own change id in the object, so the operator hears that the change was accepted.
    @Test
    public void lostAnswerOfAcceptedPresetIsSettled() {
        long seen = mFleet.operator("h1").show("in-force", "preset").path("version").asLong();
        mFleet.platform().loseResponses(1);

        HttpResponse<String> answer = use("h1", "peak", seen);

        assertEquals(answer.statusCode(), 200, answer.body());
        awaitInForce("peak");
    }

    // The platform is away when a host starts. It takes the configuration from its peers, with the
    // preset last accepted, and serves; changes are refused meanwhile as not made.
    @Test
    public void hostStartsAndServesWhilePlatformIsAway() {
        long seen = mFleet.operator("h1").show("in-force", "preset").path("version").asLong();
        assertEquals(use("h1", "peak", seen).statusCode(), 200);
        mFleet.platform().outage(Outage.REFUSE);
        mFleet.killHost("h3");

        mFleet.startHost("h3");

        Await.until("h3 is ready", () -> mFleet.caller("h3").ready());
        assertEquals(inForce("h3"), "peak");
        Await.until(
                "h3 serves",
                () -> mFleet.caller("h3").complete(PROMPT, 4, true).statusCode() == 200);
        assertEquals(
                Caller.text(mFleet.caller("h3").complete(PROMPT, 4, true).body()),
                CompletionText.generate(PROMPT, 4));
        HttpResponse<String> refused = use("h3", "maintenance", seen);
        assertTrue(refused.statusCode() >= 500, refused.body());
        assertEquals(inForce("h3"), "peak");
    }

    // The platform is slow to the point that every call times out, for long. What is in force stays
    // in force on every host, and requests are served all the while.
    @Test
    public void hostsKeepServingByLastConfigurationWhilePlatformHangs() {
        mFleet.platform().outage(Outage.HANG);

        for (int i = 0; i < 6; i++) {
            String host = "h" + (1 + i % 3);
            HttpResponse<String> answer = mFleet.caller(host).complete(PROMPT + i, 4, true);
            assertEquals(answer.statusCode(), 200, answer.body());
        }

        assertEquals(inForce("h2"), "ordinary");
    }

    private HttpResponse<String> use(String host, String preset, long version) {
        return mFleet.operator(host)
                .put(
                        "in-force",
                        "preset",
                        "{\"preset\": \"" + preset + "\"}",
                        "If-Match",
                        Long.toString(version),
                        "X-Change-Id",
                        Operator.changeId());
    }

    private void awaitInForce(String preset) {
        for (String host : List.of("h1", "h2", "h3")) {
            Await.until(preset + " in force on " + host, () -> inForce(host).equals(preset));
        }
    }

    private String inForce(String host) {
        return mFleet.operator(host).status().path("presetInForce").asText();
    }

    private static String presetLike(String name) {
        return """
        {"name": "%s", "description": "", "assignments": [
          {"backend": "p1", "service": "malt-reader", "role": "PREFILL"},
          {"backend": "d1", "service": "malt-reader", "role": "DECODE"}]}\
        """
                .formatted(name);
    }
}
