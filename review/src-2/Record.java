import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what happens in a case to record.txt, with milliseconds since its start. */
final class Record implements AutoCloseable {
    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    synchronized void line(String text) {
        mOut.printf(Locale.ROOT, "%7d %s%n", millis(), text);
        mOut.flush();
    }

    /** Writes a line to record.txt and to standard output. */
    void tell(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public void close() {
        mOut.close();
    }
}
