package org.cyclamenpaddle.core.config;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Kinds of configuration objects, each with its segment of the platform key. */
public enum ObjectKind {
    SERVICE,
    BACKEND,
    PRESET,
    /** The one object, named {@value ObjectKey#IN_FORCE_NAME}, that names the preset in force. */
    IN_FORCE;

    /** Returns the form used in platform keys and operator paths. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the kind whose {@link #code()} is {@code code}. */
    public static Optional<ObjectKind> fromCode(String code) {
        return Arrays.stream(values()).filter(kind -> kind.code().equals(code)).findFirst();
    }
}
