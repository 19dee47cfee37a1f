package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * Limits the processors of a running attempt.
 *
 * @param percent from 1 to 100; 100 lifts the limit
 */
public record JobThrottled(String job, int attempt, int percent) implements Proposal {
  public JobThrottled {
    Objects.requireNonNull(job, "job");
  }
}
