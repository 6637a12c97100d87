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

/** Entry hosts in processes of their own are told to stop, and killed. */
public class HostSignalTest {

    private static final int CALLERS = 4;
    private static final int TOKENS = 20;
    private static final int LONG_ANSWER = 4_000;
    private static final long STOP_GRACE_MILLIS = 3_000;
    private static final int EXIT_AFTER_SIGTERM = 143;
    private static final String PROMPT = "Rail wagon plan for malting barley, Merredin. ";
    private static final List<String> HOSTS = List.of("h1", "h2", "h3");

    private final AtomicBoolean mEnough = new AtomicBoolean();
    private final AtomicInteger mAnswers = new AtomicInteger();
    private List<CompletableFuture<Void>> mCallers = List.of();
    private TestFleet mFleet;

    @BeforeMethod
    public void start() {
        mEnough.set(false);
        mAnswers.set(0);
        mFleet =
                new TestFleet()
                        .stopGrace(STOP_GRACE_MILLIS)
                        .engines(2, 2, EngineSettings.DEFAULT)
                        .processes(HOSTS.size())
                        .configured();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mEnough.set(true);
        mFleet.close();
    }

    // Each host in turn gets SIGTERM while callers stream through whichever host says that it is
    // ready, as behind a balancer, and a new process takes its name. Readiness turns before work is
    // refused, answers under way go on to their end, so no caller sees a failure or a cut.
    @Test
    public void rollingRestartFailsNoRequest() {
        mCallers =
                IntStream.range(0, CALLERS)
                        .mapToObj(number -> CompletableFuture.runAsync(() -> keepCalling(number)))
                        .toList();

        for (String name : HOSTS) {
            awaitMoreAnswers();
            HostProcess old = mFleet.process(name);
            old.terminate();
            assertEquals(old.exitCode(), EXIT_AFTER_SIGTERM);
            mFleet.startProcess(name);
            Await.until(name + " is ready again", () -> mFleet.takesCallers(name));
        }
        awaitMoreAnswers();
        mEnough.set(true);

        mCallers.forEach(CompletableFuture::join);
        Await.until("engines hold nothing", () -> mFleet.heldPieces() == 0);
    }

    // The process that streams an answer gets SIGKILL, with everything it knew. The attempt's id
    // names the dead life, so the engine's owner among the others finds and cancels it; else the
    // attempt would hold its memory to its end, a minute later.
    @Test
    public void freesMemoryWhenHostProcessIsKilled() throws Exception {
        CompletableFuture<HttpResponse<InputStream>> answer =
                mFleet.caller("h1").open(PROMPT, LONG_ANSWER);
        answer.get().body().read(new byte[100]);
        assertTrue(mFleet.heldPieces() > 0, "the answer is under way");

        mFleet.process("h1").kill();

        Await.until("engines hold nothing", () -> mFleet.heldPieces() == 0);
        assertEquals(
                Caller.text(mFleet.caller("h2").complete(PROMPT, 5, true).body()),
                CompletionText.generate(PROMPT, 5));
    }

    private void awaitMoreAnswers() {
        int before = mAnswers.get();
        Await.until(
                "every caller goes on", () -> failed() || mAnswers.get() >= before + 2 * CALLERS);
        mCallers.stream()
                .filter(CompletableFuture::isCompletedExceptionally)
                .forEach(CompletableFuture::join);
    }

    private boolean failed() {
        return mCallers.stream().anyMatch(CompletableFuture::isCompletedExceptionally);
    }

    private void keepCalling(int number) {
        for (int i = 0; !mEnough.get(); i++) {
            String prompt = PROMPT + number + " " + i;
            String host = readyHost(number + i);
            HttpResponse<String> answer = mFleet.caller(host).complete(prompt, TOKENS, true);
            assertEquals(
                    answer.statusCode(), 200, answer.statusCode() == 200 ? "" : told(host, answer));
            assertEquals(Caller.text(answer.body()), CompletionText.generate(prompt, TOKENS));
            mAnswers.incrementAndGet();
        }
    }

    private String told(String host, HttpResponse<String> answer) {
        String request = answer.headers().firstValue("X-Request-Id").orElse("");
        return host + ": " + answer.body() + " " + mFleet.operator(host).explain(request);
    }

    private String readyHost(int first) {
        return IntStream.range(first, first + HOSTS.size())
                .mapToObj(i -> HOSTS.get(i % HOSTS.size()))
                .filter(mFleet::takesCallers)
                .findFirst()
                .orElseThrow(() -> new AssertionError("no host is ready"));
    }
}
