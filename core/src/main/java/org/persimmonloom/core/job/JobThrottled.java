package org.persimmonloom.core.job;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * Limits the processors of a running attempt.
 *
 * @param percent percentage of its reserved processors that the attempt may use, from 1 to 100; 100
 *     removes the limit
 */
public record JobThrottled(String job, int attempt, int percent) implements Proposal {
  public JobThrottled {
    Objects.requireNonNull(job, "job");
  }
}
