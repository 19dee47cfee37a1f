package org.persimmonloom.runtime.log;

import java.util.Optional;

/** Another way to the records of the log while the log itself can't be read. Blocks. */
@FunctionalInterface
public interface RecordSource {
  /** Returns records from {@code fromOffset} on, or empty if no peer has them. */
  Optional<LogPage> fetch(long fromOffset);
}
