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

/** Engines come in line with the preset in force, and no answer is cut off on the way. */
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
        mFleet = new TestFleet().engines(1, 2, settings).hosts(3).configured();
        awaitRoles(ORDINARY);
        awaitServed("h1");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    // A preset takes a decode engine for prefill while it streams an answer. The answer goes on to
    // its end, since the engine is ordered only when it runs nothing; then it serves in its new
    // role, and nothing was cut off.
    @Test
    public void engineFinishesAnswersBeforeItsRoleIsSwapped() {
        CompletableFuture<HttpResponse<String>> answer =
                mFleet.caller("h1").completeLater(PROMPT, TOKENS);
        String busy = awaitBusy();

        use(swapped(busy));

        assertEquals(Caller.text(answer.join().body()), CompletionText.generate(PROMPT, TOKENS));
        awaitRoles(swapped(busy));
        long before = mFleet.decode(number(busy)).counts().prefilledTokens();
        awaitServed("h1");
        assertEquals(cutOff(), 0);
        Await.until(
                busy + " prefills",
                () -> mFleet.decode(number(busy)).counts().prefilledTokens() > before);
    }

    // A former owner's order reaches an engine late, with the number from before the last change.
    // The engine refuses it and stays as asked. An order from outside with a higher number is
    // obeyed; the owner sees it in the next report and orders again, with a number above.
    @Test
    public void oldOrderIsRefusedAndForeignOneCorrected() {
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
    // the engine in its old role, drains and orders it anew, and the answer that runs on it still
    // ends whole.
    @Test
    public void nextOwnerEndsChangeOfKilledOne() {
        String owner = owner("d1");
        String other = owner.equals("h1") ? "h2" : "h1";
        CompletableFuture<HttpResponse<String>> onFirst =
                mFleet.caller(other).completeLater(PROMPT, TOKENS);
        CompletableFuture<HttpResponse<String>> onSecond =
                mFleet.caller(other).completeLater(PROMPT + "Again. ", TOKENS);
        awaitBusy();
        use(other, swapped("d1"));
        Await.until(
                "the owner changes d1",
                () -> mFleet.kept("status/rollout/" + TestFleet.MODEL).contains("d1 " + owner));

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

    // While the platform is away, an engine is set up wrongly from outside. No host may order,
    // since
    // no fencing number can be had, and the other engines serve on; once the platform is back, the
    // engine is ordered as asked.
    @Test
    public void nothingIsOrderedWhilePlatformIsAway() {
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
        HttpResponse<String> answer =
                operator.put(
                        "in-force",
                        "preset",
                        "{\"preset\": \"swapped\"}",
                        "If-Match",
                        operator.show("in-force", "preset").path("version").asText(),
                        "X-Change-Id",
                        Operator.changeId());
        assertEquals(answer.statusCode(), 200, answer.body());
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
