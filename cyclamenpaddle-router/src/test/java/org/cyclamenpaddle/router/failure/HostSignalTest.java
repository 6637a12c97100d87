package org.cyclamenpaddle.router.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.InputStream;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.cyclamenpaddle.router.fixture.Await;
import org.cyclamenpaddle.router.fixture.Caller;
import org.cyclamenpaddle.router.fixture.HostProcess;
import org.cyclamenpaddle.router.fixture.TestFleet;
import org.cyclamenpaddle.standins.engine.CompletionText;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests entry hosts in processes of their own that are stopped gracefully or killed. */
public class HostSignalTest {

    private static final int CALLERS = 4;
    private static final int TOKENS = 20;
    private static final int LONG_ANSWER = 4_000;
    private static final long STOP_GRACE_MILLIS = 3_000;
    private static final int EXIT_AFTER_SIGTERM = 143;
    private static final String PROMPT = "Rail wagon plan for malting barley, Merredin. ";
    private static final List<String> HOSTS = List.of("h1", "h2", "h3");

    private final AtomicBoolean mStopped = new AtomicBoolean();
    private final AtomicInteger mResponses = new AtomicInteger();
    private List<CompletableFuture<Void>> mCallers = List.of();
    private TestFleet mFleet;

    @BeforeMethod
    public void start() {
        mStopped.set(false);
        mResponses.set(0);
        mFleet =
                new TestFleet()
                        .stopGrace(STOP_GRACE_MILLIS)
                        .engines(2, 2, EngineSettings.DEFAULT)
                        .processes(HOSTS.size())
                        .configure();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mStopped.set(true);
        mFleet.close();
    }

    // Each host in turn gets SIGTERM while callers stream through whichever host reports that it is
    // ready, as behind a load balancer, and a new process takes its name. Readiness changes before
    // work is refused, and in-flight responses continue to their end, so no caller sees a failure
    // or a truncated response.
    @Test
    public void rollingRestartFailsNoRequest() {
        mCallers =
                IntStream.range(0, CALLERS)
                        .mapToObj(
                                number ->
                                        CompletableFuture.runAsync(() -> callUntilStopped(number)))
                        .toList();

        for (String name : HOSTS) {
            awaitMoreResponses();
            HostProcess terminated = mFleet.process(name);
            terminated.terminate();
            assertEquals(terminated.exitCode(), EXIT_AFTER_SIGTERM);
            mFleet.startProcess(name);
            Await.until(name + " is ready again", () -> mFleet.takesCallers(name));
        }
        awaitMoreResponses();
        mStopped.set(true);

        mCallers.forEach(CompletableFuture::join);
        Await.until("engines hold no memory", () -> mFleet.heldPieces() == 0);
    }

    // The process that streams a response gets SIGKILL and loses all its state. The attempt's id
    // names the dead incarnation, so the engine's owner among the other hosts finds and cancels it;
    // otherwise the attempt would hold its memory to its end, a minute later.
    @Test
    public void freesMemoryWhenHostProcessIsKilled() throws Exception {
        CompletableFuture<HttpResponse<InputStream>> response =
                mFleet.caller("h1").openStream(PROMPT, LONG_ANSWER);
        response.get().body().read(new byte[100]);
        assertTrue(mFleet.heldPieces() > 0, "the response is in flight");

        mFleet.process("h1").kill();

        Await.until("engines hold no memory", () -> mFleet.heldPieces() == 0);
        assertEquals(
                Caller.text(mFleet.caller("h2").complete(PROMPT, 5, true).body()),
                CompletionText.generate(PROMPT, 5));
    }

    private void awaitMoreResponses() {
        int before = mResponses.get();
        Await.until(
                "every caller makes progress",
                () -> failed() || mResponses.get() >= before + 2 * CALLERS);
        mCallers.stream()
                .filter(CompletableFuture::isCompletedExceptionally)
                .forEach(CompletableFuture::join);
    }

    private boolean failed() {
        return mCallers.stream().anyMatch(CompletableFuture::isCompletedExceptionally);
    }

    private void callUntilStopped(int number) {
        for (int i = 0; !mStopped.get(); i++) {
            String prompt = PROMPT + number + " " + i;
            String host = readyHost(number + i);
            HttpResponse<String> response = mFleet.caller(host).complete(prompt, TOKENS, true);
            assertEquals(
                    response.statusCode(),
                    200,
                    response.statusCode() == 200 ? "" : describeFailure(host, response));
            assertEquals(Caller.text(response.body()), CompletionText.generate(prompt, TOKENS));
            mResponses.incrementAndGet();
        }
    }

    private String describeFailure(String host, HttpResponse<String> response) {
        String request = response.headers().firstValue("X-Request-Id").orElse("");
        return host + ": " + response.body() + " " + mFleet.operator(host).explain(request);
    }

    private String readyHost(int first) {
        return IntStream.range(first, first + HOSTS.size())
                .mapToObj(i -> HOSTS.get(i % HOSTS.size()))
                .filter(mFleet::takesCallers)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no host is ready"));
    }
}
