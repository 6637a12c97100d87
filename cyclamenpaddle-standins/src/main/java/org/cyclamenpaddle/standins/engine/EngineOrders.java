package org.cyclamenpaddle.standins.engine;

import io.vavr.control.Either;
import org.cyclamenpaddle.core.config.FencingSupport;

/** Service, model and role that an engine was last ordered to serve. */
final class EngineOrders {

    private final EngineTimer mTimer;
    private final EngineSettings mSettings;
    private State mState;
    private long mLoads;

    EngineOrders(EngineTimer timer, EngineSettings settings) {
        mTimer = timer;
        mSettings = settings;
        mState = state("", "", "", 0, false);
    }

    /** Body of {@code POST /v1/orders}. */
    record Order(long fence, String service, String model, String role, long timeoutMillis) {

        Order {
            service = service == null ? "" : service;
            model = model == null ? "" : model;
            role = role == null ? "" : role;
        }
    }

    /** Body of {@code GET /v1/state}. */
    record State(
            String service,
            String model,
            String role,
            long fence,
            boolean busy,
            boolean servesUnordered) {}

    /** Rejection of an order whose fencing token is lower than the current {@code fence}. */
    record Stale(long fence) {}

    /** Applies an order; runs {@code cancelAll} first if service, model or role change. */
    Either<Stale, State> apply(Order order, Runnable cancelAll) {
        if (mSettings.fencing() == FencingSupport.HONOURS && order.fence() < mState.fence()) {
            return Either.left(new Stale(mState.fence()));
        }
        boolean modelChanges = !order.model().equals(mState.model());
        boolean assignmentChanges =
                modelChanges
                        || !order.service().equals(mState.service())
                        || !order.role().equals(mState.role());
        if (assignmentChanges) {
            cancelAll.run();
        }
        boolean busy = modelChanges ? !order.model().isEmpty() : mState.busy();
        mState = state(order.service(), order.model(), order.role(), order.fence(), busy);
        if (modelChanges) {
            long load = ++mLoads;
            long micros = EngineModel.micros(mSettings.modelLoadMillis());
            mTimer.schedule(micros, () -> loaded(load));
        }
        return Either.right(mState);
    }

    State state() {
        return mState;
    }

    /** Returns whether requests of a role are admitted: not while loading or in another role. */
    boolean serves(String role) {
        if (mState.busy()) {
            return false;
        }
        return mState.role().isEmpty()
                ? !mSettings.requiresOrder()
                : mState.role().equalsIgnoreCase(role);
    }

    private State state(String service, String model, String role, long fence, boolean busy) {
        return new State(service, model, role, fence, busy, !mSettings.requiresOrder());
    }

    private void loaded(long load) {
        if (load == mLoads) {
            mState = state(mState.service(), mState.model(), mState.role(), mState.fence(), false);
        }
    }
}
