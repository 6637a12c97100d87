package org.cyclamenpaddle.core.id;

import java.util.regex.Pattern;

/** Validation shared by all identifier types. */
final class Identifiers {

    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");

    private Identifiers() {}

    static String check(String type, String value) {
        if (value == null || !ALLOWED.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    type
                            + " '"
                            + value
                            + "' must have 1 to 128 letters, digits, '.', '_', ':' or '-'"
                            + " and start with a letter or digit");
        }
        return value;
    }
}
