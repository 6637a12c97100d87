package org.cyclamenpaddle.standins.load;

import java.util.Locale;

/** Outcome of a call as its caller observes it. */
enum CallOutcome {
    /** The complete response to the call's own prompt, in order and without duplicates. */
    WHOLE,
    /** Text that differs from the prompt's completion, or a truncated one marked as finished. */
    WRONG,
    /** Part of the completion was received twice. */
    DUPLICATED,
    /** Part of the completion, followed by an error or by the end of the stream. */
    CUT_OFF,
    /** Rejected with a problem document. */
    REFUSED,
    /** The connection failed before the response was finished. */
    LOST;

    String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
