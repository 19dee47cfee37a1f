package org.persimmonloom.runtime.caller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.persimmonloom.runtime.log.LogPage;
import org.persimmonloom.runtime.log.PlatformLog;

/** A platform log in memory that can be down, or lose responses after the append took effect. */
final class MemoryLog implements PlatformLog {
  enum Mode {
    UP,
    DOWN,
    RESPONSE_LOST,
    SLOW
  }

  private final List<byte[]> records = new ArrayList<>();
  private Mode mode = Mode.UP;
  private int lostResponseCount;

  synchronized void set(Mode newMode) {
    mode = newMode;
    notifyAll();
  }

  synchronized int lostResponses() {
    return lostResponseCount;
  }

  @Override
  public synchronized long append(byte[] record) throws IOException {
    while (mode == Mode.SLOW) {
      waitFor(50);
    }
    if (mode == Mode.DOWN) {
      throw new IOException("log is down");
    }
    records.add(record);
    notifyAll();
    if (mode == Mode.RESPONSE_LOST) {
      lostResponseCount++;
      throw new IOException("response lost");
    }
    return records.size() - 1L;
  }

  @Override
  public synchronized LogPage read(long from, int max, long waitMillis) throws IOException {
    if (records.size() <= from) {
      waitFor(Math.min(waitMillis, 50));
    }
    int start = (int) Math.min(from, records.size());
    int end = Math.min(records.size(), start + max);
    return new LogPage(0, records.size(), start, List.copyOf(records.subList(start, end)));
  }

  private void waitFor(long millis) throws IOException {
    try {
      wait(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }
}
