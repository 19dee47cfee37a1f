package org.persimmonloom.core.workflow;

import java.util.Objects;

/**
 * Scheduling policy of a queue. Immutable.
 *
 * @param queue name of the queue
 * @param service service whose pool runs the tasks
 * @param priority priority of the queue; lower values come first
 * @param attempts number of failed runs of a task after which its workflow fails
 * @param stretch factor applied to the longest chain of steps in the completion objective
 * @param targetMillis constant term of the completion objective
 * @param permitValidMillis how long a permit of the placement policy service is valid; 0 if the
 *     queue needs none
 */
public record QueuePolicy(
    String queue,
    String service,
    int priority,
    int attempts,
    double stretch,
    int targetMillis,
    int permitValidMillis) {
  /** No name may be null. */
  public QueuePolicy {
    Objects.requireNonNull(queue);
    Objects.requireNonNull(service);
  }
}
