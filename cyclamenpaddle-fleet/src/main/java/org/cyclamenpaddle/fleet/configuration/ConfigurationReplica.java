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
 * This host's replica of the configuration objects.
 *
 * <p>For each key it stores the highest version received, whether an object or a tombstone. A lower
 * version never replaces it, regardless of source and order of arrival. Not thread-safe.
 */
public final class ConfigurationReplica {

    private final TreeMap<ObjectKey, ConfigurationObject> mObjects = new TreeMap<>();
    private long mDigest;

    /**
     * Stores an object if it is newer than the stored version of its key.
     *
     * @return whether the object was stored
     */
    public boolean offer(ConfigurationObject object) {
        Optional<ConfigurationObject> stored = object(object.key());
        // A slow peer, a late watch event or an old listing may deliver a superseded version;
        // accepting it would restore a preset that operators have replaced.
        if (stored.isPresent() && stored.get().version() >= object.version()) {
            return false;
        }
        replace(stored, object);
        return true;
    }

    /** Stores the objects that are newer and returns them. */
    public List<ConfigurationObject> offerAll(List<ConfigurationObject> objects) {
        return objects.stream().filter(this::offer).collect(Collectors.toList());
    }

    /** Returns the object or tombstone of a key. */
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

    /** Returns the stored versions by key path, for a request to a peer. */
    public Map<String, Long> knownVersions() {
        return mObjects.values().stream()
                .collect(Collectors.toMap(o -> o.key().path(), ConfigurationObject::version));
    }

    /**
     * Returns the objects and tombstones that are newer than those of a requester.
     *
     * @param known versions by key path that the requester has
     */
    public List<ConfigurationObject> newerThan(Map<String, Long> known) {
        return mObjects.values().stream()
                .filter(object -> object.version() > known.getOrDefault(object.key().path(), 0L))
                .collect(Collectors.toList());
    }

    /**
     * Returns tombstones for stored objects that are missing from a complete listing of the
     * platform.
     *
     * <p>An object with a version above {@code revision} is newer than the listing and is retained.
     * For the others the revision of the listing serves as the version of the tombstone: the
     * deletion happened no later, and a re-creation gets a greater version.
     *
     * @param revision the platform's revision at the listing
     * @param listed all objects of the listing
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

    private void replace(Optional<ConfigurationObject> stored, ConfigurationObject object) {
        long before = stored.map(ConfigurationObject::version).orElse(0L);
        Invariants.require(
                object.version() > before,
                () ->
                        "version of "
                                + object.key().path()
                                + " must increase, but "
                                + object.version()
                                + " would replace "
                                + before);
        stored.ifPresent(old -> mDigest -= hash(old));
        mDigest += hash(object);
        mObjects.put(object.key(), object);
    }

    private static long hash(ConfigurationObject object) {
        String text = object.version() + ":" + object.key().path();
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }
}
