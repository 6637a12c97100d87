package org.cyclamenpaddle.store.objects;

/** Precondition of a write. */
public sealed interface WritePrecondition {

    /** The object must not exist. */
    record Absent() implements WritePrecondition {}

    /**
     * The object must exist at a version.
     *
     * @param version the version, above 0
     */
    record AtVersion(long version) implements WritePrecondition {
        public AtVersion {
            if (version <= 0) {
                throw new IllegalArgumentException("version " + version + " must be above 0");
            }
        }
    }

    /** Returns the precondition that the object is absent. */
    static WritePrecondition absent() {
        return new Absent();
    }

    /** Returns the precondition that the object is at {@code version}. */
    static WritePrecondition atVersion(long version) {
        return new AtVersion(version);
    }
}
