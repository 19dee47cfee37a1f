package org.persimmonloom.runtime.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;

/** Collects the log lines with a prefix until it is closed. Safe for any thread. */
final class LogLines implements AutoCloseable {
  private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
  private final Logger logger = (Logger) LogManager.getRootLogger();
  private final AbstractAppender appender;

  LogLines(String prefix) {
    appender =
        new AbstractAppender("lines", null, null, true, Property.EMPTY_ARRAY) {
          @Override
          public void append(LogEvent event) {
            String line = event.getMessage().getFormattedMessage();
            if (line.startsWith(prefix)) {
              lines.add(line);
            }
          }
        };
    appender.start();
    logger.addAppender(appender);
  }

  /** Returns the next line; null if there is none in time. */
  String poll(long millis) throws InterruptedException {
    return lines.poll(millis, TimeUnit.MILLISECONDS);
  }

  /** Returns the lines that were not polled. */
  List<String> rest() {
    List<String> rest = new ArrayList<>();
    lines.drainTo(rest);
    return rest;
  }

  @Override
  public void close() {
    logger.removeAppender(appender);
  }
}
