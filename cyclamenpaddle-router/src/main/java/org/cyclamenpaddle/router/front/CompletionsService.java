package org.cyclamenpaddle.router.front;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.vavr.control.Either;
import java.util.Optional;
import org.cyclamenpaddle.core.config.ServiceKind;
import org.cyclamenpaddle.core.config.ServiceSpec;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.core.text.PromptText;
import org.cyclamenpaddle.router.request.ModelRequests;

/** HTTP service for {@code POST /v1/completions}. */
public final class CompletionsService implements HttpService {

    private static final String TEAM_HEADER = "x-team";
    private static final String DEFAULT_TEAM = "default";

    private final RequestSupport mSupport;
    private final ModelRequests mRequests;
    private final int mMaxPromptTokens;

    /**
     * Creates the service.
     *
     * @param support checks that all caller-facing services share
     * @param requests runs the requests
     * @param maxPromptTokens longest accepted prompt, in estimated tokens
     */
    public CompletionsService(RequestSupport support, ModelRequests requests, int maxPromptTokens) {
        mSupport = support;
        mRequests = requests;
        mMaxPromptTokens = maxPromptTokens;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
        RequestId id = mSupport.newRequest();
        return HttpResponse.of(
                mSupport.aggregate(request)
                        .thenApply(
                                body ->
                                        body.flatMap(aggregated -> call(id, aggregated))
                                                .fold(
                                                        refusal -> mSupport.refuse(id, refusal),
                                                        this::run)));
    }

    /** A parsed call, and whether the caller wants its response streamed. */
    private record Parsed(ModelRequests.Call call, boolean stream) {}

    private Either<Refusal, Parsed> call(RequestId id, AggregatedHttpRequest request) {
        return CompletionBody.parse(request.contentUtf8())
                .flatMap(
                        body ->
                                service(body.model())
                                        .flatMap(service -> parsed(id, request, body, service)));
    }

    private Either<Refusal, Parsed> parsed(
            RequestId id, AggregatedHttpRequest request, CompletionBody body, ServiceSpec service) {
        int tokens = PromptText.tokens(body.prompt());
        if (tokens > mMaxPromptTokens) {
            return Either.left(
                    Refusal.of(
                            RefusalReason.PROMPT_TOO_LONG,
                            "The prompt has about "
                                    + tokens
                                    + " tokens; the limit is "
                                    + mMaxPromptTokens
                                    + "."));
        }
        return team(request)
                .map(
                        team ->
                                new Parsed(
                                        new ModelRequests.Call(
                                                id, service, team, body.prompt(), body.maxTokens()),
                                        body.stream()));
    }

    private Either<Refusal, TeamName> team(AggregatedHttpRequest request) {
        String name = request.headers().get(TEAM_HEADER, DEFAULT_TEAM);
        return mSupport.parseName(name, TeamName::new, "Header X-Team");
    }

    private Either<Refusal, ServiceSpec> service(String model) {
        return mSupport.parseName(model, ServiceName::new, "Member 'model'")
                .flatMap(name -> mSupport.service(name, ServiceKind.MODEL));
    }

    private HttpResponse run(Parsed parsed) {
        ModelRequests.Call call = parsed.call();
        HttpResponseWriter writer = HttpResponse.streaming();
        // Completes exceptionally when the caller disconnects or resets its stream; the resources
        // that the request holds on engines are then released, whichever step it has reached.
        writer.whenComplete()
                .whenComplete(
                        (done, failure) ->
                                Optional.ofNullable(failure)
                                        .ifPresent(
                                                cause -> mRequests.callerDisconnected(call.id())));
        mRequests.start(
                call,
                CompletionSink.of(
                        call.id(), call.service().name().value(), parsed.stream(), writer));
        return writer;
    }
}
