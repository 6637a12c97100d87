package org.cyclamenpaddle.router.problem;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpHeaderNames;
import java.io.IOException;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.core.outcome.RunOutcome;
import org.testng.annotations.Test;

public class ProblemTest {

    @Test
    public void carriesReasonOutcomeAndRetryAfter() throws IOException {
        Refusal refusal = new Refusal(RefusalReason.QUEUE_FULL, "256 wait for malt-reader", 1_200);

        AggregatedHttpResponse response = Problem.of(refusal).response("r-1").aggregate().join();

        JsonNode document = new ObjectMapper().readTree(response.contentUtf8());
        assertEquals(response.status().code(), 503);
        assertEquals(response.contentType(), Problem.MEDIA_TYPE);
        assertEquals(response.headers().get(HttpHeaderNames.RETRY_AFTER), "2");
        assertEquals(response.headers().get(Problem.REQUEST_ID_HEADER), "r-1");
        assertEquals(document.path("type").asText(), "about:blank");
        assertEquals(document.path("status").asInt(), 503);
        assertEquals(document.path("reason").asText(), "queue-full");
        assertEquals(document.path("outcome").asText(), "not-run");
        assertEquals(document.path("detail").asText(), "256 wait for malt-reader");
    }

    @Test
    public void omitsRetryAfterForNonRetryableReasons() {
        AggregatedHttpResponse response =
                Problem.of(RefusalReason.UNKNOWN_SERVICE, "tea-reader")
                        .response()
                        .aggregate()
                        .join();

        assertFalse(response.headers().contains(HttpHeaderNames.RETRY_AFTER));
    }

    @Test
    public void explicitOutcomeAndMembersOverrideTheDefaults() throws IOException {
        Problem problem =
                Problem.of(RefusalReason.BACKEND_FAILED, "")
                        .withOutcome(RunOutcome.NOT_RUN)
                        .withMembers(JsonNodeFactory.instance.objectNode().put("winner", 7));

        JsonNode document = new ObjectMapper().readTree(problem.document());
        assertEquals(document.path("outcome").asText(), "not-run");
        assertEquals(document.path("winner").asInt(), 7);
    }
}
