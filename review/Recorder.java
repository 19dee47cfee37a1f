package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start in seconds. */
final class Recorder implements AutoCloseable {
  private static final long START_NANOS = System.nanoTime();
  private final PrintWriter out;

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  static long nowMillis() {
    return (System.nanoTime() - START_NANOS) / 1_000_000;
  }

  synchronized void line(String format, Object... arguments) {
    String text = String.format(Locale.ROOT, format, arguments);
    out.printf(Locale.ROOT, "%8.3f %s%n", nowMillis() / 1000.0, text);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
