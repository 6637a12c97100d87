import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start. */
final class Record implements AutoCloseable {

    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();

    Record(Path file) {
        try {
            mOut = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    long millis() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    synchronized void log(String format, Object... values) {
        String line = String.format("%7d ", millis()) + String.format(format, values);
        mOut.println(line);
    }

    @Override
    public void close() {
        mOut.close();
    }
}
