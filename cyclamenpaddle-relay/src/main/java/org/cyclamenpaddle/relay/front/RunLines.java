package org.cyclamenpaddle.relay.front;

import java.util.Optional;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.course.CallerReply;
import org.cyclamenpaddle.relay.course.Course;
import org.cyclamenpaddle.relay.course.NextStep;
import org.cyclamenpaddle.relay.log.RelayEvent;

/** The log lines of one run: what was decided, by what, and how long it took. */
final class RunLines {

    private static final String NONE = "none";

    private final RelayParts mParts;
    private final RelayRequest mRequest;
    private final Course mCourse;
    private final CallerAnswer mAnswer;
    private final long mStartMillis;

    RunLines(
            RelayParts parts,
            RelayRequest request,
            Course course,
            CallerAnswer answer,
            long startMillis) {
        mParts = parts;
        mRequest = request;
        mCourse = course;
        mAnswer = answer;
        mStartMillis = startMillis;
    }

    /** The caller has left before its answer. */
    void callerGone(Optional<Backend> backend) {
        mParts.log().log(
                RelayEvent.CALLER_GONE,
                mRequest.caller().id(),
                mRequest.route().name(),
                name(backend),
                mCourse.sends(),
                spentMillis());
    }

    /**
     * The caller has its whole answer.
     *
     * @param backend server that gave it
     * @param reader engine that read the prompt, if another one did
     * @param placeMillis time until a place was found; -1 if none was looked for
     */
    void answered(Optional<Backend> backend, Optional<Backend> reader, long placeMillis) {
        mParts.log().log(
                RelayEvent.REQUEST_ENDED,
                mRequest.caller().id(),
                mRequest.route().name(),
                mRequest.version(),
                mRequest.caller().size().promptTokens(),
                mRequest.caller().size().outputTokens(),
                name(backend),
                mAnswer.status(),
                mCourse.sends(),
                spentMillis(),
                mAnswer.firstMillis(mStartMillis),
                placeMillis,
                name(reader),
                mAnswer.events(),
                mAnswer.pauseMillis());
    }

    /** The caller's answer was cut short. */
    void cut(Optional<Backend> backend, String reason) {
        mParts.log().log(
                RelayEvent.REQUEST_CUT,
                mRequest.caller().id(),
                mRequest.route().name(),
                name(backend),
                reason,
                mAnswer.lastEventId().orElse(NONE),
                mCourse.sends(),
                spentMillis());
    }

    /** The caller was told that it gets no answer. */
    void failed(CallerReply reply, String reason) {
        mParts.log().log(
                RelayEvent.REQUEST_FAILED,
                mRequest.caller().id(),
                mRequest.route().name(),
                mRequest.version(),
                reply.status(),
                reason,
                mCourse.sends(),
                spentMillis());
    }

    /** A send has ended without an answer for the caller. */
    void sendEnded(BackendSend send, SendOutcome outcome, String cause, NextStep next) {
        mParts.log().log(
                RelayEvent.SEND_ENDED,
                mRequest.caller().id(),
                send.target().id().value(),
                outcome,
                cause,
                send.spentMillis(),
                next);
    }

    /** Returns how long the run has taken. */
    long spentMillis() {
        return mParts.clock().millis() - mStartMillis;
    }

    private static String name(Optional<Backend> backend) {
        return backend.map(known -> known.id().value()).orElse(NONE);
    }
}
