package org.cyclamenpaddle.standins.plain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import java.util.concurrent.CompletionException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PlainServiceStandinTest {

    private PlainServiceStandin mService;

    @BeforeMethod
    public void start() {
        mService = new PlainServiceStandin();
        mService.start(0);
    }

    @AfterMethod
    public void stop() {
        mService.close();
    }

    @Test
    public void everyBookingOfAKeyIsCounted() {
        assertEquals(book("k").contentUtf8().contains("\"lot\":\"L7\""), true);
        book("k");
        assertEquals(mService.runs("k"), 2);
        assertEquals(mService.runs("other"), 0);
    }

    @Test
    public void lostResponseRanAndFailureBeforeRunDidNot() {
        mService.loseResponses(1);
        assertThrows(CompletionException.class, () -> book("k"));
        assertEquals(mService.runs("k"), 1);
        mService.failBeforeRun(1);
        assertEquals(book("k").status().code(), 503);
        assertEquals(mService.runs("k"), 1);
    }

    private AggregatedHttpResponse book(String key) {
        HttpRequest request =
                HttpRequest.builder()
                        .method(HttpMethod.POST)
                        .path("/book")
                        .header("Idempotency-Key", key)
                        .content(MediaType.JSON, "{\"lot\": \"L7\"}")
                        .build();
        return WebClient.of("http://127.0.0.1:" + mService.port())
                .execute(request)
                .aggregate()
                .join();
    }
}
