package org.cyclamenpaddle.router.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
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
 * Tests that engines are reconciled with the preset in force, and that no response is cut off
 * during the change.
 */
public class OrderTest {

    private static final int TOKENS = 120;
    private static final String ASSIGNMENT =
            "{\"backend\": \"%s\", \"service\": \"%s\", \"role\": \"%s\"}";
    private static final String PROMPT = "Moisture of lot 17 over the night. ";
    private static final Map<String, String> ORDINARY =
            Map.of("p1", "PREFILL", "d1", "DECODE", "d2", "DECODE");

    private TestFleet mFleet;

    @BeforeMethod
    public void start() {
        EngineSettings settings =
                EngineSettings.fromJson("{\"requiresOrder\": true, \"modelLoadMillis\": 200}");
        mFleet = new TestFleet().engines(1, 2, settings).hosts(3).configure();
        awaitRoles(ORDINARY);
        awaitServed("h1");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    // A preset assigns a decode engine to prefill while it streams a response. The response
    // continues to its end, since the engine is ordered only when it runs nothing; then it serves
    // in its new role, and nothing was cut off.
    @Test
    public void engineCompletesResponsesBeforeItsRoleIsSwapped() {
        CompletableFuture<HttpResponse<String>> response =
                mFleet.caller("h1").completeAsync(PROMPT, TOKENS);
        String busy = awaitBusy();

        use(swapped(busy));

        assertEquals(Caller.text(response.join().body()), CompletionText.generate(PROMPT, TOKENS));
        awaitRoles(swapped(busy));
        long before = mFleet.decode(number(busy)).counts().prefilledTokens();
        awaitServed("h1");
        assertEquals(cutOff(), 0);
        Await.until(
                busy + " prefills",
                () -> mFleet.decode(number(busy)).counts().prefilledTokens() > before);
    }

    // A former owner's order reaches an engine late, with the fencing token from before the last
    // change. The engine refuses it and keeps the requested setup. An external order with a higher
    // token is obeyed; the owner sees it in the next report and orders again, with a still higher
    // token.
    @Test
    public void staleOrderIsRefusedAndForeignOrderCorrected() {
        long first = mFleet.engineState("d1").path("fence").asLong();
        use(swapped("d1"));
        awaitRoles(swapped("d1"));

        assertEquals(mFleet.orderEngine("d1", first, "decode"), 409);
        assertEquals(mFleet.engineState("d1").path("role").asText(), "prefill");

        long above = mFleet.engineState("d1").path("fence").asLong() + 50;
        assertEquals(mFleet.orderEngine("d1", above, "decode"), 200);
        awaitRoles(swapped("d1"));
        assertEquals(mFleet.engineState("d1").path("fence").asLong(), above + 1);
    }

    // The owner of an engine is killed while it drains it for another role. The next owner finds
    // the engine in its old role, drains and orders it again, and the response that runs on it
    // still completes.
    @Test
    public void newOwnerCompletesChangeOfKilledOwner() {
        String owner = owner("d1");
        String other = owner.equals("h1") ? "h2" : "h1";
        CompletableFuture<HttpResponse<String>> onFirst =
                mFleet.caller(other).completeAsync(PROMPT, TOKENS);
        CompletableFuture<HttpResponse<String>> onSecond =
                mFleet.caller(other).completeAsync(PROMPT + "Again. ", TOKENS);
        awaitBusy();
        use(other, swapped("d1"));
        Await.until(
                "the owner changes d1",
                () ->
                        mFleet.storedText("status/rollout/" + TestFleet.MODEL)
                                .contains("d1 " + owner));

        mFleet.killHost(owner);

        assertEquals(Caller.text(onFirst.join().body()), CompletionText.generate(PROMPT, TOKENS));
        assertEquals(
                Caller.text(onSecond.join().body()),
                CompletionText.generate(PROMPT + "Again. ", TOKENS));
        awaitRoles(swapped("d1"));
        awaitServed(other);
        assertFalse(owner("d1").equals(owner));
        assertEquals(cutOff(), 0);
    }

    // While the platform is unavailable, an engine gets a wrong setup from an external order. No
    // host may send an order, since no fencing token can be taken, and the other engines continue
    // to serve; after the outage the engine is ordered to its requested setup.
    @Test
    public void noOrderIsSentWhilePlatformIsUnavailable() {
        long above = mFleet.engineState("d1").path("fence").asLong() + 50;
        mFleet.platform().outage(Outage.REFUSE);

        assertEquals(mFleet.orderEngine("d1", above, "prefill"), 200);
        for (int i = 0; i < 5; i++) {
            awaitServed("h2");
        }

        assertEquals(mFleet.engineState("d1").path("fence").asLong(), above);
        assertEquals(mFleet.engineState("d1").path("role").asText(), "prefill");
        mFleet.platform().outage(Outage.NONE);
        awaitRoles(ORDINARY);
    }

    private String owner(String backend) {
        for (var node : mFleet.operator(anyHost()).status().path("backends")) {
            if (node.path("backend").asText().equals(backend)) {
                return node.path("owner").asText();
            }
        }
        throw new AssertionError("no backend server " + backend);
    }

    private String anyHost() {
        return List.of("h1", "h2", "h3").stream()
                .filter(name -> mFleet.host(name) != null)
                .findFirst()
                .orElseThrow();
    }

    private String awaitBusy() {
        Await.until("a decode engine is busy", () -> busy(1) || busy(2));
        return busy(1) ? "d1" : "d2";
    }

    private boolean busy(int decode) {
        return mFleet.decode(decode).heldPieces() > 0;
    }

    private static int number(String decode) {
        return Integer.parseInt(decode.substring(1));
    }

    private long cutOff() {
        return mFleet.prefill(1).counts().cutOff()
                + mFleet.decode(1).counts().cutOff()
                + mFleet.decode(2).counts().cutOff();
    }

    private static Map<String, String> swapped(String decode) {
        return Map.of(
                "p1", "DECODE", decode, "PREFILL", decode.equals("d1") ? "d2" : "d1", "DECODE");
    }

    private void use(Map<String, String> roles) {
        use("h1", roles);
    }

    private void use(String host, Map<String, String> roles) {
        Operator operator = mFleet.operator(host);
        String assignments =
                roles.entrySet().stream()
                        .map(
                                role ->
                                        ASSIGNMENT.formatted(
                                                role.getKey(), TestFleet.MODEL, role.getValue()))
                        .collect(Collectors.joining(", "));
        operator.create(
                "preset",
                "swapped",
                "{\"name\": \"swapped\", \"description\": \"\", \"assignments\": [%s]}"
                        .formatted(assignments));
        HttpResponse<String> response =
                operator.put(
                        "in-force",
                        "preset",
                        "{\"preset\": \"swapped\"}",
                        "If-Match",
                        operator.show("in-force", "preset").path("version").asText(),
                        "X-Change-Id",
                        Operator.changeId());
        assertEquals(response.statusCode(), 200, response.body());
    }

    private void awaitRoles(Map<String, String> roles) {
        roles.forEach(
                (engine, role) ->
                        Await.until(
                                engine + " is set up for " + role, () -> settled(engine, role)));
    }

    private boolean settled(String engine, String role) {
        var state = mFleet.engineState(engine);
        return state.path("role").asText().equalsIgnoreCase(role)
                && !state.path("busy").asBoolean();
    }

    private void awaitServed(String host) {
        Await.until(
                host + " serves",
                () -> mFleet.caller(host).complete(PROMPT, 4, true).statusCode() == 200);
    }
}
