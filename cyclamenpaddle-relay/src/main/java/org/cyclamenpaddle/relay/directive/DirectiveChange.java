package org.cyclamenpaddle.relay.directive;

/**
 * A directive of a backend server that was set, changed or lifted.
 *
 * @param kind kind of the directive
 * @param value its new value in the unit of its kind, or {@link #NONE}
 */
public record DirectiveChange(DirectiveKind kind, String value) {

    /** Value of a directive that was lifted. */
    public static final String NONE = "none";

    public DirectiveChange {
        if (kind == null || value == null) {
            throw new IllegalArgumentException("change of a directive needs a kind and a value");
        }
    }
}
