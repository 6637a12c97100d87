package org.cyclamenpaddle.fleet.configuration;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apache.commons.codec.digest.MurmurHash3;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.invariant.Invariants;

/**
 * This host's copy of the configuration objects.
 *
 * <p>For each key it keeps the highest version seen, be it an object or a tombstone. A lower one
 * never replaces it, from whichever source and in whichever order they come. Not thread-safe.
 */
public final class ConfigurationReplica {

    private final TreeMap<ObjectKey, ConfigurationObject> mObjects = new TreeMap<>();
    private long mDigest;

    /**
     * Takes an object in if it is newer than what is kept for its key.
     *
     * @return whether it was taken in
     */
    public boolean offer(ConfigurationObject object) {
        Optional<ConfigurationObject> kept = object(object.key());
        // A slow peer, a late watch event or an old listing may bring a version that was already
        // superseded; taking it would bring back a preset that operators have replaced.
        if (kept.isPresent() && kept.get().version() >= object.version()) {
            return false;
        }
        replace(kept, object);
        return true;
    }

    /** Takes objects in and returns those that were newer. */
    public List<ConfigurationObject> offerAll(List<ConfigurationObject> objects) {
        return objects.stream().filter(this::offer).collect(Collectors.toList());
    }

    /** Returns the object or tombstone kept for a key. */
    public Optional<ConfigurationObject> object(ObjectKey key) {
        return Optional.ofNullable(mObjects.get(key));
    }

    /** Returns all objects and tombstones, in key order. */
    public List<ConfigurationObject> objects() {
        return List.copyOf(mObjects.values());
    }

    /** Returns a digest of all keys and versions that does not depend on the order of arrival. */
    public long digest() {
        return mDigest;
    }

    /** Returns the version of the object that names the preset in force; 0 if there is none. */
    public long inForceVersion() {
        return object(ObjectKey.inForce()).map(ConfigurationObject::version).orElse(0L);
    }

    /** Returns the versions kept by key path, for an ask to a peer. */
    public Map<String, Long> knownVersions() {
        return mObjects.values().stream()
                .collect(Collectors.toMap(o -> o.key().path(), ConfigurationObject::version));
    }

    /**
     * Returns the objects and tombstones that are newer than what an asker has.
     *
     * @param known versions by key path that the asker has
     */
    public List<ConfigurationObject> newerThan(Map<String, Long> known) {
        return mObjects.values().stream()
                .filter(object -> object.version() > known.getOrDefault(object.key().path(), 0L))
                .collect(Collectors.toList());
    }

    /**
     * Returns tombstones for the kept objects that a whole listing of the platform lacks.
     *
     * <p>An object kept at a version above {@code revision} is newer than the listing and stays.
     * For the others the revision of the listing serves as the tombstone's version: the deletion
     * came no later, and a re-creation gets a greater one.
     *
     * @param revision the platform's revision at the listing
     * @param listed all objects that it holds
     */
    public List<ConfigurationObject> tombstonesForMissing(
            long revision, List<ConfigurationObject> listed) {
        Set<ObjectKey> present =
                listed.stream().map(ConfigurationObject::key).collect(Collectors.toSet());
        return mObjects.values().stream()
                .filter(object -> !object.tombstone() && object.version() < revision)
                .filter(object -> !present.contains(object.key()))
                .map(o -> new ConfigurationObject(o.key(), revision, Optional.empty()))
                .collect(Collectors.toList());
    }

    private void replace(Optional<ConfigurationObject> kept, ConfigurationObject object) {
        long before = kept.map(ConfigurationObject::version).orElse(0L);
        Invariants.require(
                object.version() > before,
                () ->
                        "version of "
                                + object.key().path()
                                + " must rise, but "
                                + object.version()
                                + " would replace "
                                + before);
        kept.ifPresent(old -> mDigest -= hash(old));
        mDigest += hash(object);
        mObjects.put(object.key(), object);
    }

    private static long hash(ConfigurationObject object) {
        String text = object.version() + ":" + object.key().path();
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }
}
