package org.cyclamenpaddle.router.order;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.config.ConfigurationView;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.fleet.order.EngineSetup;
import org.cyclamenpaddle.router.backend.AttemptsListener;

/** Reconciles the engines whose ledgers this host owns with the preset in force. */
public final class OrderDriver implements AttemptsListener {

    private final OrderServices mServices;
    private final Map<BackendId, OrderControllerRun> mRuns = new ConcurrentHashMap<>();

    /**
     * Creates a driver that manages no engines yet.
     *
     * @param services services of this host
     */
    public OrderDriver(OrderServices services) {
        mServices = services;
    }

    /** Applies the current ownership and the preset in force; called periodically. */
    public void tick() {
        Map<BackendId, BackendSpec> owned =
                mServices.ledgers().owned().stream()
                        .collect(Collectors.toMap(BackendSpec::id, Function.identity()));
        // The run of an engine that has moved to another owner is retained, since only it knows the
        // shared slots that could not be released while the platform was unavailable.
        mRuns.forEach((id, run) -> stopUnless(owned.containsKey(id), run));
        ConfigurationView view = mServices.blackboard().view();
        owned.values()
                .forEach(
                        spec ->
                                mRuns.computeIfAbsent(
                                                spec.id(),
                                                id -> new OrderControllerRun(mServices, spec))
                                        .tick(spec, requestedSetup(view, spec)));
    }

    @Override
    public void onListed(BackendId engine, int running, long requestedAtMillis) {
        Optional.ofNullable(mRuns.get(engine))
                .ifPresent(run -> run.onListed(running, requestedAtMillis));
    }

    private static void stopUnless(boolean owned, OrderControllerRun run) {
        if (!owned) {
            run.stop();
        }
    }

    private static Optional<EngineSetup> requestedSetup(ConfigurationView view, BackendSpec spec) {
        return Optional.ofNullable(view.assignments().get(spec.id()))
                .filter(assignment -> !spec.leaving())
                .flatMap(
                        assignment ->
                                Optional.ofNullable(view.services().get(assignment.service()))
                                        .map(
                                                service ->
                                                        new EngineSetup(
                                                                service.name(),
                                                                service.model(),
                                                                assignment.role())));
    }
}
