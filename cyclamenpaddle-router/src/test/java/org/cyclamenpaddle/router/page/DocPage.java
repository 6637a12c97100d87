package org.cyclamenpaddle.router.page;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A documentation page to be compared with the code. */
final class DocPage {

    private static final Path DOCS = Path.of("..", "docs");

    private final String mName;
    private final String mText;

    DocPage(String name) {
        mName = name;
        try {
            mText = Files.readString(DOCS.resolve(name));
        } catch (IOException missing) {
            throw new UncheckedIOException(missing);
        }
    }

    /** Returns a Markdown table; cells must not contain a vertical bar. */
    static String table(List<String> headers, Stream<List<String>> rows) {
        String rule = headers.stream().map(h -> "---").collect(Collectors.joining(" | "));
        return Stream.concat(Stream.of(row(headers), "| " + rule + " |"), rows.map(DocPage::row))
                .collect(Collectors.joining("\n"));
    }

    static String code(String text) {
        return "`" + text + "`";
    }

    /** Fails with the expected content if the page does not contain {@code part}. */
    void assertContains(String part) {
        if (!mText.contains(part + "\n")) {
            fail("docs/" + mName + " must contain this table and no other version of it:\n" + part);
        }
    }

    /** Fails if the page does not contain {@code words}, ignoring line breaks. */
    void assertContainsIgnoringLineBreaks(String words) {
        String text = mText.replaceAll("\\s+", " ");
        assertTrue(text.contains(words), "docs/" + mName + " does not contain: " + words);
    }

    /** Fails if the page does not contain {@code word} as inline code. */
    void assertNamesAsCode(String word) {
        assertTrue(mText.contains(code(word)), "docs/" + mName + " does not name " + word);
    }

    /**
     * Returns the first cells of all table rows that start with inline code, as in {@code | `cell`
     * | ...}.
     */
    List<String> codeCells() {
        return mText.lines()
                .filter(line -> line.startsWith("| `"))
                .map(line -> line.substring(3, line.indexOf('`', 3)))
                .toList();
    }

    private static String row(List<String> cells) {
        cells.forEach(cell -> assertTrue(!cell.contains("|"), cell));
        return "| " + String.join(" | ", cells) + " |";
    }
}
