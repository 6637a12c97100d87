package org.cyclamenpaddle.engine.model;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a byte stream into lines; a partial line is kept until the rest comes.
 *
 * <p>Not thread-safe.
 */
final class LineSplitter {

    private final int mMaxLineBytes;
    private final ByteArrayOutputStream mPartial = new ByteArrayOutputStream();
    private boolean mOversized;

    LineSplitter(int maxLineBytes) {
        mMaxLineBytes = maxLineBytes;
    }

    /**
     * Takes the next bytes and returns the lines that they complete, without empty ones.
     *
     * <p>An engine gone wrong could send a line without end, which would fill the host's memory; so
     * a line that is too long ends the splitting, see {@link #oversized()}.
     */
    List<String> feed(byte[] bytes) {
        List<String> lines = new ArrayList<>();
        int start = 0;
        for (int i = 0; i < bytes.length && !mOversized; i++) {
            if (bytes[i] == '\n') {
                keep(bytes, start, i);
                complete(lines);
                start = i + 1;
            }
        }
        keep(bytes, start, bytes.length);
        return lines;
    }

    /** Returns whether a line was too long; no line comes after it. */
    boolean oversized() {
        return mOversized;
    }

    /** Returns whether bytes of an unfinished line are kept. */
    boolean partial() {
        return mPartial.size() > 0;
    }

    private void keep(byte[] bytes, int start, int end) {
        mOversized = mOversized || mPartial.size() + (end - start) > mMaxLineBytes;
        if (!mOversized) {
            mPartial.write(bytes, start, end - start);
        }
    }

    private void complete(List<String> lines) {
        if (!mOversized && partial()) {
            lines.add(mPartial.toString(StandardCharsets.UTF_8));
            mPartial.reset();
        }
    }
}
