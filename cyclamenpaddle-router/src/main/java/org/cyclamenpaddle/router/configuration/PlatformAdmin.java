package org.cyclamenpaddle.router.configuration;

import io.vavr.control.Either;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.config.ConfigurationChecks;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.config.ConfigurationView;
import org.cyclamenpaddle.core.config.InForceSpec;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.core.config.PresetSpec;
import org.cyclamenpaddle.core.config.ServiceSpec;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.core.id.PresetName;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.router.operator.ChangeRefusal;
import org.cyclamenpaddle.router.operator.ConfigurationAdmin;
import org.cyclamenpaddle.router.operator.Precondition;
import org.cyclamenpaddle.router.operator.StoredObject;
import org.cyclamenpaddle.store.codec.ConfigurationCodec;
import org.cyclamenpaddle.store.http.PlatformError;
import org.cyclamenpaddle.store.objects.ChangeResult;
import org.cyclamenpaddle.store.objects.ConditionalChange;
import org.cyclamenpaddle.store.objects.ObjectStore;
import org.cyclamenpaddle.store.objects.WritePrecondition;

/**
 * Applies operators' changes to the platform by conditional updates.
 *
 * <p>References are checked against a fresh listing of the platform, not against the replica, which
 * may be some seconds behind an object that the same operator has just declared.
 */
public final class PlatformAdmin implements ConfigurationAdmin {

    private static final int ATTEMPT_LIMIT = 5;
    private static final long RETRY_DELAY_MILLIS = 200;

    private final ObjectStore mStore;
    private final ConfigurationCodec mCodec;
    private final ConditionalChange mChange;
    private final ConfigurationDriver mDriver;

    /**
     * Creates an instance.
     *
     * @param store the platform's object API
     * @param codec encodes and decodes documents
     * @param driver applies what was written, so that it is immediately in force on this host
     */
    public PlatformAdmin(ObjectStore store, ConfigurationCodec codec, ConfigurationDriver driver) {
        mStore = store;
        mCodec = codec;
        mChange = new ConditionalChange(store, codec, ATTEMPT_LIMIT, RETRY_DELAY_MILLIS);
        mDriver = driver;
    }

    @Override
    public CompletableFuture<Either<Refusal, List<StoredObject>>> list(ObjectKind kind) {
        return listAll()
                .thenApply(
                        response ->
                                response.map(
                                        objects ->
                                                objects.stream()
                                                        .filter(o -> o.key().kind() == kind)
                                                        .flatMap(o -> stored(o).stream())
                                                        .sorted(
                                                                Comparator.comparing(
                                                                        o -> o.key().name()))
                                                        .collect(Collectors.toList())));
    }

    @Override
    public CompletableFuture<Either<Refusal, Optional<StoredObject>>> find(ObjectKey key) {
        return mStore.get(key.path())
                .thenApply(
                        response ->
                                response.mapLeft(PlatformAdmin::readFailure)
                                        .map(
                                                found ->
                                                        found.flatMap(
                                                                object -> stored(key, object))));
    }

    @Override
    public CompletableFuture<Either<ChangeRefusal, StoredObject>> put(
            ObjectKey key, String spec, Precondition precondition, ChangeId change) {
        Either<String, Object> submitted = mCodec.submitted(key, "{\"spec\":" + spec + "}");
        if (submitted.isLeft()) {
            return refused(Refusal.of(RefusalReason.BAD_CONFIGURATION, submitted.getLeft()));
        }
        return checked(view -> findProblem(view, submitted.get()))
                .thenCompose(
                        refusal ->
                                refusal.map(PlatformAdmin::<StoredObject>refused)
                                        .orElseGet(
                                                () ->
                                                        write(
                                                                key,
                                                                submitted.get(),
                                                                precondition,
                                                                change)));
    }

    @Override
    public CompletableFuture<Either<ChangeRefusal, Long>> delete(
            ObjectKey key, Precondition precondition, ChangeId change) {
        if (precondition.version().isEmpty()) {
            return refused(
                    Refusal.of(
                            RefusalReason.BAD_BODY, "A deletion needs If-Match with a version."));
        }
        long version = precondition.version().getAsLong();
        return checked(view -> findRemovalProblem(view, key))
                .thenCompose(
                        refusal ->
                                refusal.map(PlatformAdmin::<Long>refused)
                                        .orElseGet(() -> remove(key, version)));
    }

    private CompletableFuture<Either<ChangeRefusal, StoredObject>> write(
            ObjectKey key, Object spec, Precondition precondition, ChangeId change) {
        WritePrecondition condition =
                precondition.version().isPresent()
                        ? WritePrecondition.atVersion(precondition.version().getAsLong())
                        : WritePrecondition.absent();
        return mChange.put(key.path(), change, spec, condition)
                .thenCompose(
                        response ->
                                settle(key, response)
                                        .fold(
                                                refusal ->
                                                        CompletableFuture.completedFuture(
                                                                Either.left(refusal)),
                                                version ->
                                                        restorePresetIfDeleted(spec)
                                                                .thenCompose(
                                                                        restored ->
                                                                                inForce(
                                                                                        key, spec,
                                                                                        change,
                                                                                        version))));
    }

    /**
     * Restores a preset that was deleted while it was being put in force.
     *
     * <p>One operator may delete a preset while another puts it in force: each check passes before
     * the other's write, and every host would refuse all requests for lack of a preset. Both read
     * again after their own write, so at least one of them sees both writes and restores the
     * preset.
     */
    private CompletableFuture<Void> restorePresetIfDeleted(Object spec) {
        if (!(spec instanceof InForceSpec inForce)) {
            return CompletableFuture.completedFuture(null);
        }
        ObjectKey key = new ObjectKey(ObjectKind.PRESET, inForce.preset().value());
        return mStore.get(key.path())
                .thenCompose(
                        response ->
                                response.isRight() && response.get().isEmpty()
                                        ? restore(key)
                                        : CompletableFuture.completedFuture(null));
    }

    /**
     * Writes back the last document of the preset that this host knew, unless the preset exists
     * again.
     */
    private CompletableFuture<Void> restore(ObjectKey key) {
        return mDriver.lastDocument(key)
                .thenCompose(
                        document ->
                                document.map(
                                                text ->
                                                        mStore.put(
                                                                        key.path(),
                                                                        text,
                                                                        WritePrecondition.absent())
                                                                .<Void>thenApply(done -> null))
                                        .orElseGet(() -> CompletableFuture.completedFuture(null)));
    }

    /** Applies the change on this host before the operator receives the response. */
    private CompletableFuture<Either<ChangeRefusal, StoredObject>> inForce(
            ObjectKey key, Object spec, ChangeId change, OptionalLong version) {
        String document = mCodec.encode(change, spec);
        ConfigurationObject object =
                new ConfigurationObject(key, version.orElseThrow(), Optional.of(document));
        return mDriver.onWritten(object)
                .thenApply(
                        done ->
                                Either.right(
                                        new StoredObject(
                                                key,
                                                object.version(),
                                                change,
                                                mCodec.specText(document).orElse("{}"))));
    }

    private CompletableFuture<Either<ChangeRefusal, Long>> remove(ObjectKey key, long version) {
        return mChange.delete(key.path(), version)
                .thenCompose(
                        response ->
                                settle(key, response)
                                        .fold(
                                                refusal ->
                                                        CompletableFuture.completedFuture(
                                                                Either.left(refusal)),
                                                deleted ->
                                                        restoreIfInForce(key)
                                                                .thenCompose(
                                                                        restored ->
                                                                                removed(
                                                                                        key,
                                                                                        version,
                                                                                        deleted))));
    }

    private CompletableFuture<Void> restoreIfInForce(ObjectKey deleted) {
        if (deleted.kind() != ObjectKind.PRESET) {
            return CompletableFuture.completedFuture(null);
        }
        return mStore.get(ObjectKey.inForce().path())
                .thenCompose(
                        response ->
                                response.toJavaOptional()
                                        .flatMap(found -> found)
                                        .flatMap(
                                                found ->
                                                        mCodec.inForce(found.value())
                                                                .toJavaOptional())
                                        .filter(
                                                inForce ->
                                                        inForce.preset()
                                                                .value()
                                                                .equals(deleted.name()))
                                        .map(this::restorePresetIfDeleted)
                                        .orElseGet(() -> CompletableFuture.completedFuture(null)));
    }

    private CompletableFuture<Either<ChangeRefusal, Long>> removed(
            ObjectKey key, long version, OptionalLong deleted) {
        if (deleted.isEmpty()) {
            // The response was lost and the object no longer exists; the watch will deliver the
            // tombstone.
            return CompletableFuture.completedFuture(Either.right(version));
        }
        ConfigurationObject tombstone =
                new ConfigurationObject(key, deleted.getAsLong(), Optional.empty());
        return mDriver.onWritten(tombstone).thenApply(done -> Either.right(tombstone.version()));
    }

    private Either<ChangeRefusal, OptionalLong> settle(
            ObjectKey key, Either<PlatformError, ChangeResult> response) {
        if (response.isLeft()) {
            return Either.left(ChangeRefusal.of(writeFailure(response.getLeft())));
        }
        if (response.get() instanceof ChangeResult.Accepted accepted) {
            return Either.right(accepted.version());
        }
        ChangeResult.Conflict lost = (ChangeResult.Conflict) response.get();
        return Either.left(
                new ChangeRefusal(
                        Refusal.of(
                                RefusalReason.CONFLICT,
                                key.path()
                                        + lost.current()
                                                .map(w -> " is at version " + w.version() + ".")
                                                .orElse(" does not exist.")),
                        lost.current().flatMap(winner -> stored(key, winner))));
    }

    private CompletableFuture<Optional<Refusal>> checked(
            Function<ConfigurationView, Optional<String>> check) {
        return listAll()
                .thenApply(
                        response ->
                                response.fold(
                                        Optional::of,
                                        objects ->
                                                check.apply(mCodec.view(objects))
                                                        .map(toRefusal())));
    }

    private static Function<String, Refusal> toRefusal() {
        return problem -> Refusal.of(RefusalReason.BAD_CONFIGURATION, problem);
    }

    private static Optional<String> findProblem(ConfigurationView view, Object spec) {
        if (spec instanceof PresetSpec preset) {
            return ConfigurationChecks.preset(view, preset);
        }
        if (spec instanceof InForceSpec inForce) {
            return ConfigurationChecks.inForce(view, inForce);
        }
        if (spec instanceof ServiceSpec service) {
            return ConfigurationChecks.replaceService(view, service);
        }
        return spec instanceof BackendSpec
                ? Optional.empty()
                : Optional.of("unknown kind of object " + spec.getClass().getSimpleName());
    }

    private static Optional<String> findRemovalProblem(ConfigurationView view, ObjectKey key) {
        return switch (key.kind()) {
            case SERVICE -> ConfigurationChecks.removeService(view, new ServiceName(key.name()));
            case BACKEND -> ConfigurationChecks.removeBackend(view, new BackendId(key.name()));
            case PRESET -> ConfigurationChecks.removePreset(view, new PresetName(key.name()));
            case IN_FORCE -> Optional.of("the preset in force can be replaced, not deleted");
        };
    }

    private CompletableFuture<Either<Refusal, List<ConfigurationObject>>> listAll() {
        return mStore.list(ObjectKey.PREFIX)
                .thenApply(
                        response ->
                                response.mapLeft(PlatformAdmin::readFailure)
                                        .map(listing -> objects(listing.objects())));
    }

    private static List<ConfigurationObject> objects(
            List<org.cyclamenpaddle.store.objects.StoredObject> stored) {
        return stored.stream()
                .flatMap(
                        object ->
                                ObjectKey.fromPath(object.key()).stream()
                                        .map(
                                                key ->
                                                        new ConfigurationObject(
                                                                key,
                                                                object.version(),
                                                                Optional.of(object.value()))))
                .collect(Collectors.toList());
    }

    private Optional<StoredObject> stored(
            ObjectKey key, org.cyclamenpaddle.store.objects.StoredObject object) {
        return stored(new ConfigurationObject(key, object.version(), Optional.of(object.value())));
    }

    private Optional<StoredObject> stored(ConfigurationObject object) {
        return object.document().flatMap(document -> stored(object, document));
    }

    private Optional<StoredObject> stored(ConfigurationObject object, String document) {
        Optional<ChangeId> change = mCodec.changeId(document);
        Optional<String> spec = mCodec.specText(document);
        return change.isEmpty() || spec.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new StoredObject(object.key(), object.version(), change.get(), spec.get()));
    }

    private static Refusal readFailure(PlatformError error) {
        return Refusal.of(RefusalReason.PLATFORM_AWAY, error.toString());
    }

    private static Refusal writeFailure(PlatformError error) {
        return error.mayHaveTakenEffect()
                ? Refusal.of(RefusalReason.CHANGE_UNKNOWN, error.toString())
                : readFailure(error);
    }

    private static <T> CompletableFuture<Either<ChangeRefusal, T>> refused(Refusal refusal) {
        return CompletableFuture.completedFuture(Either.left(ChangeRefusal.of(refusal)));
    }
}
