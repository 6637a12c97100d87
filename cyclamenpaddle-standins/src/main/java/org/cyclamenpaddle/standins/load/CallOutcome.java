package org.cyclamenpaddle.standins.load;

import java.util.Locale;

/** How a call ended, as its caller sees it. */
enum CallOutcome {
    /** The whole answer to its own prompt, in order, once. */
    WHOLE,
    /** Another text than the answer to its prompt, or too short an answer said to be whole. */
    WRONG,
    /** Some part of the answer came twice. */
    DUPLICATED,
    /** A part of the answer, and an error instead of the rest. */
    CUT_OFF,
    /** A problem document instead of an answer. */
    REFUSED,
    /** Neither an answer nor a problem document: the connection failed. */
    LOST;

    String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
