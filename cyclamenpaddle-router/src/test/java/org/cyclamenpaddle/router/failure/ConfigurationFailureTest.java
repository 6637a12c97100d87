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

/**
 * Tests that an accepted preset comes into force on every host and never reverts while the platform
 * fails.
 */
public class ConfigurationFailureTest {

    private static final String PROMPT = "Contract summary for a broker. ";

    private TestFleet mFleet;

    @BeforeMethod
    public void start() {
        mFleet = new TestFleet().engines(1, 1, EngineSettings.DEFAULT).hosts(3).configure();
        mFleet.operator("h1").create("preset", "peak", presetLike("peak"));
        mFleet.operator("h1").create("preset", "maintenance", presetLike("maintenance"));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    // Two operators at two hosts put different presets in force concurrently, both based on the
    // same version. One succeeds; the other is refused with the winning change, and every host
    // applies the winner.
    @Test
    public void concurrentPresetUpdatesReportWinnerToLoser() {
        long baseVersion =
                mFleet.operator("h1").show("in-force", "preset").path("version").asLong();

        CompletableFuture<HttpResponse<String>> first =
                CompletableFuture.supplyAsync(() -> use("h1", "peak", baseVersion));
        CompletableFuture<HttpResponse<String>> second =
                CompletableFuture.supplyAsync(() -> use("h2", "maintenance", baseVersion));

        List<HttpResponse<String>> responses = List.of(first.join(), second.join());
        List<Integer> codes =
                responses.stream()
                        .map(HttpResponse::statusCode)
                        .sorted()
                        .collect(Collectors.toList());
        assertEquals(codes, List.of(200, 409));
        String winner = responses.get(0).statusCode() == 200 ? "peak" : "maintenance";
        HttpResponse<String> refused = responses.get(responses.get(0).statusCode() == 409 ? 0 : 1);
        JsonNode reported = mFleet.caller("h1").problem(refused).path("winner").path("spec");
        assertEquals(reported.path("preset").asText(), winner, refused.body());
        awaitInForce(winner);
    }

    // One operator deletes a preset while another puts it in force at another host. In some of the
    // rounds each check passes before the other's write. Whichever succeeds, the preset in force
    // must exist afterwards, or every host would refuse all requests.
    @Test
    public void presetInForceSurvivesRacingDeletion() {
        for (int round = 0; round < 12; round++) {
            String preset = "race-" + round;
            mFleet.operator("h1").create("preset", preset, presetLike(preset));
            long baseVersion =
                    mFleet.operator("h1").show("in-force", "preset").path("version").asLong();
            long version = mFleet.operator("h1").show("preset", preset).path("version").asLong();

            CompletableFuture<HttpResponse<String>> used =
                    CompletableFuture.supplyAsync(() -> use("h1", preset, baseVersion));
            CompletableFuture<HttpResponse<String>> deleted =
                    CompletableFuture.supplyAsync(
                            () -> mFleet.operator("h2").delete("preset", preset, version));

            boolean inForce = used.join().statusCode() == 200;
            deleted.join();
            boolean exists = mFleet.platform().value("config/preset/" + preset).isPresent();
            assertTrue(exists || !inForce, "round " + round + ": preset in force does not exist");
        }
    }

    // The platform puts the preset in force, but its response to the host is lost. The host finds
    // its own change id in the object, so the operator's request succeeds.
    @Test
    public void lostResponseOfAcceptedPresetIsResolved() {
        long baseVersion =
                mFleet.operator("h1").show("in-force", "preset").path("version").asLong();
        mFleet.platform().loseResponses(1);

        HttpResponse<String> response = use("h1", "peak", baseVersion);

        assertEquals(response.statusCode(), 200, response.body());
        awaitInForce("peak");
    }

    // The platform is unavailable when a host starts. The host takes the configuration from its
    // peers, with the preset last accepted, and serves; changes are refused as not made.
    @Test
    public void hostStartsAndServesWhilePlatformIsUnavailable() {
        long baseVersion =
                mFleet.operator("h1").show("in-force", "preset").path("version").asLong();
        assertEquals(use("h1", "peak", baseVersion).statusCode(), 200);
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
        HttpResponse<String> refused = use("h3", "maintenance", baseVersion);
        assertTrue(refused.statusCode() >= 500, refused.body());
        assertEquals(inForce("h3"), "peak");
    }

    // The platform is so slow that every call times out, for a long time. The preset in force stays
    // in force on every host, and requests are served throughout.
    @Test
    public void hostsKeepServingByLastConfigurationWhilePlatformHangs() {
        mFleet.platform().outage(Outage.HANG);

        for (int i = 0; i < 6; i++) {
            String host = "h" + (1 + i % 3);
            HttpResponse<String> response = mFleet.caller(host).complete(PROMPT + i, 4, true);
            assertEquals(response.statusCode(), 200, response.body());
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
