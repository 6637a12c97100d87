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

/** Brings the engines whose ledgers this host owns in line with the preset in force. */
public final class OrderDriver implements AttemptsListener {

    private final OrderServices mServices;
    private final Map<BackendId, OrderRun> mRuns = new ConcurrentHashMap<>();

    /**
     * Creates a driver that orders nothing yet.
     *
     * @param services what it needs of this host
     */
    public OrderDriver(OrderServices services) {
        mServices = services;
    }

    /** Follows ownership and the preset in force; called often. */
    public void tick() {
        Map<BackendId, BackendSpec> owned =
                mServices.ledgers().owned().stream()
                        .collect(Collectors.toMap(BackendSpec::id, Function.identity()));
        // A run is kept when its engine has another owner, since only it knows the shared slots
        // that
        // could not be given back yet while the platform was away.
        mRuns.forEach((id, run) -> stopUnless(owned.containsKey(id), run));
        ConfigurationView view = mServices.blackboard().view();
        owned.values()
                .forEach(
                        spec ->
                                mRuns.computeIfAbsent(
                                                spec.id(), id -> new OrderRun(mServices, spec))
                                        .tick(spec, asked(view, spec)));
    }

    @Override
    public void onListed(BackendId engine, int running, long askedAtMillis) {
        Optional.ofNullable(mRuns.get(engine))
                .ifPresent(run -> run.onListed(running, askedAtMillis));
    }

    private static void stopUnless(boolean owned, OrderRun run) {
        if (!owned) {
            run.stop();
        }
    }

    private static Optional<EngineSetup> asked(ConfigurationView view, BackendSpec spec) {
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
