package org.cyclamenpaddle.engine.model;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a byte stream into lines; buffers a partial line until the rest arrives.
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
     * Adds bytes and returns the lines that they complete, without empty ones.
     *
     * <p>A faulty engine could send an endless line, which would exhaust the host's memory; so an
     * oversized line ends the splitting, see {@link #oversized()}.
     */
    List<String> feed(byte[] bytes) {
        List<String> lines = new ArrayList<>();
        int start = 0;
        for (int i = 0; i < bytes.length && !mOversized; i++) {
            if (bytes[i] == '\n') {
                append(bytes, start, i);
                complete(lines);
                start = i + 1;
            }
        }
        append(bytes, start, bytes.length);
        return lines;
    }

    /**
     * Returns whether a line exceeded the maximum length; no further lines are returned after it.
     */
    boolean oversized() {
        return mOversized;
    }

    /** Returns whether bytes of an incomplete line are buffered. */
    boolean partial() {
        return mPartial.size() > 0;
    }

    private void append(byte[] bytes, int start, int end) {
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
