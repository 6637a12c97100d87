package org.cyclamenpaddle.router.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.cyclamenpaddle.router.fixture.Await;
import org.cyclamenpaddle.router.fixture.Caller;
import org.cyclamenpaddle.router.fixture.PartitionProxy;
import org.cyclamenpaddle.router.fixture.TestFleet;
import org.cyclamenpaddle.standins.engine.CompletionText;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a host that is paused for some time, as in a long pause of its machine, and resumes. */
public class PausedHostTest {

    private static final long SERVICE_MILLIS = 1_000;
    private static final String PROMPT = "Tags of extinguishers due in Geraldton. ";
    private static final List<String> HOSTS = List.of("h1", "h2", "h3");

    private TestFleet mFleet;
    private PartitionProxy mRelay;

    @BeforeMethod
    public void start() {
        mFleet = new TestFleet();
        mRelay = new PartitionProxy(mFleet.platform().port());
        mFleet.platformThrough("h1", mRelay).engines(1, 5, EngineSettings.DEFAULT).plainServices(1);
        mFleet.startProcess("h1");
        mFleet.startHost("h2");
        mFleet.startHost("h3");
        mFleet.configure();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFleet.close();
        mRelay.close();
    }

    // The claim is in the platform's store, and the host is paused before it receives the response.
    // The caller resends at another host, which cannot know whether the claim holder has sent the
    // call. After the claim holder resumes, the call runs at most once.
    @Test
    public void pauseBetweenClaimAndCallRunsBookingAtMostOnce() {
        CompletableFuture<HttpResponse<String>> first = claimAndPause("k-claimed");

        HttpResponse<String> again = mFleet.caller("h2").book("k-claimed", "1");
        mFleet.process("h1").resume();

        awaitTrueResponses("k-claimed", first, again);
    }

    // As above, but the claim holder is declared dead before the resend and resumes after it. It
    // sends late a call that other hosts consider lost; their response must have allowed for that.
    @Test
    public void claimHolderDeclaredDeadRunsBookingAtMostOnce() {
        CompletableFuture<HttpResponse<String>> first = claimAndPause("k-buried");
        awaitDead();

        HttpResponse<String> again = mFleet.caller("h2").book("k-buried", "1");
        mFleet.process("h1").resume();

        awaitTrueResponses("k-buried", first, again);
    }

    // The call has reached the service, and the host is paused while the service processes it. The
    // caller resends at another host before and after the booking ran.
    @Test
    public void pauseDuringCallRunsBookingOnce() {
        mFleet.plain(1).delay(SERVICE_MILLIS);
        CompletableFuture<HttpResponse<String>> first = book("h1", "k-called");
        Await.until("the service has the call", () -> mFleet.plain(1).calls() == 1);
        mFleet.process("h1").pause();

        HttpResponse<String> early = mFleet.caller("h2").book("k-called", "1");
        Await.until("the booking ran", () -> mFleet.runs("k-called") > 0);
        HttpResponse<String> late = mFleet.caller("h3").book("k-called", "1");
        mFleet.process("h1").resume();

        awaitTrueResponses("k-called", first, early, late);
        assertEquals(mFleet.runs("k-called"), 1);
    }

    // A paused host is declared dead and its backend servers get other owners. After it resumes, it
    // learns that it was declared dead and refutes that; all hosts see each other alive, and every
    // host serves again.
    @Test
    public void hostDeclaredDeadRejoinsAfterPause() {
        assertTrue(owners("h2").anyMatch("h1"::equals), "h1 owns a backend server");
        mFleet.process("h1").pause();
        awaitDead();
        Await.until(
                "other hosts own all backend servers", () -> owners("h2").noneMatch("h1"::equals));

        mFleet.process("h1").resume();

        for (String host : HOSTS) {
            Await.until(
                    host + " sees all alive",
                    () -> mFleet.operator(host).hostsAlive() == HOSTS.size());
        }
        for (String host : HOSTS) {
            Await.until(
                    host + " serves",
                    () -> mFleet.caller(host).complete(PROMPT, 3, true).statusCode() == 200);
            assertEquals(
                    Caller.text(mFleet.caller(host).complete(PROMPT, 9, true).body()),
                    CompletionText.generate(PROMPT, 9));
        }
    }

    private CompletableFuture<HttpResponse<String>> claimAndPause(String key) {
        long before = mFleet.platform().revision();
        mRelay.holdWriteResponses();
        CompletableFuture<HttpResponse<String>> first = book("h1", key);
        Await.until("the claim is stored", () -> mFleet.platform().revision() > before);
        mFleet.process("h1").pause();
        mRelay.releaseResponses();
        assertEquals(mFleet.runs(key), 0);
        return first;
    }

    private CompletableFuture<HttpResponse<String>> book(String host, String key) {
        return CompletableFuture.supplyAsync(() -> mFleet.caller(host).book(key, "1"));
    }

    private void awaitDead() {
        Await.until(
                "h1 is declared dead",
                () -> Stream.of("h2", "h3").allMatch(host -> stateOfFirst(host).equals("DEAD")));
    }

    private String stateOfFirst(String observer) {
        return members(mFleet.operator(observer).status().path("hosts"))
                .filter(host -> host.path("host").asText().equals("h1"))
                .map(host -> host.path("state").asText())
                .findFirst()
                .orElse("");
    }

    private Stream<String> owners(String observer) {
        return members(mFleet.operator(observer).status().path("backends"))
                .map(backend -> backend.path("owner").asText());
    }

    private static Stream<JsonNode> members(JsonNode array) {
        return StreamSupport.stream(array.spliterator(), false);
    }

    /** Waits for a later booking of another key first, so that no call is still in flight. */
    @SafeVarargs
    private void awaitTrueResponses(
            String key,
            CompletableFuture<HttpResponse<String>> first,
            HttpResponse<String>... resends) {
        List<HttpResponse<String>> responses =
                Stream.concat(Stream.of(first.join()), Stream.of(resends)).toList();
        Await.until(
                "h1 books again",
                () -> mFleet.caller("h1").book("after-" + key, "9").statusCode() == 200);

        int runs = mFleet.runs(key);
        assertTrue(runs <= 1, key + " ran " + runs + " times");
        for (HttpResponse<String> response : responses) {
            boolean reportedNotRun = response.body().contains("\"not-run\"");
            assertFalse(reportedNotRun && runs > 0, response.body());
            assertTrue(response.statusCode() != 200 || runs == 1, response.body());
        }
    }
}
