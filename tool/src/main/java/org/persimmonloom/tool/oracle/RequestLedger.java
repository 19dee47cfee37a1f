package org.persimmonloom.tool.oracle;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.persimmonloom.tool.standin.Execution;

/**
 * Compares what callers were told with what endpoints ran. Safe for any thread.
 *
 * <p>A request is <em>lost</em> if no try got an answer, or if a try was told "not run" although it
 * ran. Tries of a repeatable request carry their number to the endpoint, so each is judged alone.
 * Tries of a non-repeatable request are identical; they are judged by time, as described at {@link
 * #isFalseNotRun}. A non-repeatable request that began to run twice is <em>doubled</em>.
 */
public final class RequestLedger {
  /** Time after the first sign within which a leaving endpoint may still get work. */
  public static final long LEAVING_GRACE_MILLIS = 3_000;

  private static final int MAX_EXAMPLES = 5;
  private static final long HIGHEST_LATENCY_MILLIS = 3_600_000;

  private final Map<String, List<Execution>> executions = new HashMap<>();
  private final List<CallerRecord> records = new ArrayList<>();
  private final Map<String, Long> leaving = new HashMap<>();
  private final Map<String, Long> plannedStops = new HashMap<>();
  private final List<String> lateKeys = new ArrayList<>();
  private long lateToLeaving;

  /**
   * What the ledger counts. {@code accepted} is {@code answered + unknown + lost + crossed}.
   *
   * @param cutOff tries that a planned stop left without an answer
   * @param lateToLeaving requests that ran and arrived at a leaving endpoint after the grace
   * @param shortP99Millis 99th percentile of the time that callers waited for short answers
   * @param examples keys of up to five requests for each kind of violation
   */
  public record Counts(
      long accepted,
      long answered,
      long notRun,
      long unknown,
      long lost,
      long doubled,
      long crossed,
      long cutOff,
      long lateToLeaving,
      long shortP99Millis,
      Map<String, List<String>> examples) {}

  /** Records that an endpoint began to run a request. */
  public synchronized void executed(Execution execution) {
    executions.computeIfAbsent(execution.key(), key -> new ArrayList<>()).add(execution);
    Long since = leaving.get(execution.endpoint());
    if (since != null && execution.arrivedMillis() > since + LEAVING_GRACE_MILLIS) {
      lateToLeaving++;
      lateKeys.add(execution.key());
    }
  }

  /** Records a finished request. */
  public synchronized void finished(CallerRecord callerRecord) {
    records.add(callerRecord);
  }

  /** Records the first sign that an endpoint is leaving. */
  public synchronized void leaving(String endpoint, long nowMillis) {
    leaving.putIfAbsent(endpoint, nowMillis);
  }

  /** Records the start of a planned stop of an entry host. */
  public synchronized void plannedStop(String entryHost, long nowMillis) {
    plannedStops.putIfAbsent(entryHost, nowMillis);
  }

  /** Returns the number of finished requests, for progress lines. */
  public synchronized int finishedRequests() {
    return records.size();
  }

  /** Judges everything recorded so far. */
  public synchronized Counts counts() {
    Tally tally = new Tally();
    tally.examples.put("late_to_leaving", lateKeys.stream().limit(MAX_EXAMPLES).toList());
    for (CallerRecord callerRecord : records) {
      tally.add(callerRecord, executions.getOrDefault(callerRecord.key(), List.of()));
    }
    return tally.counts();
  }

  /**
   * Returns whether a try was told "not run" although it ran.
   *
   * <p>For a non-repeatable request an execution counts against the try if it began before the try
   * was told "not run", or if it began later and no other try that ended differently can have
   * caused it.
   */
  private boolean isFalseNotRun(CallerRecord callerRecord, CallerTry told, List<Execution> runs) {
    if (told.outcome() != TryOutcome.NOT_RUN) {
      return false;
    }
    if (callerRecord.isRepeatable()) {
      return runs.stream().anyMatch(run -> run.callerTry() == told.number());
    }
    return runs.stream()
        .anyMatch(
            run -> !isCausedByOther(callerRecord, run) || run.timeMillis() <= told.endMillis());
  }

  private static boolean isCausedByOther(CallerRecord callerRecord, Execution run) {
    return callerRecord.tries().stream()
        .anyMatch(
            other ->
                other.outcome() != TryOutcome.NOT_RUN && other.startMillis() <= run.timeMillis());
  }

  /** The sums over all requests. */
  private final class Tally {
    private final Histogram shortWait = new Histogram(HIGHEST_LATENCY_MILLIS, 3);
    private final Map<String, List<String>> examples = new HashMap<>();
    private long answered;
    private long notRun;
    private long unknown;
    private long lost;
    private long doubled;
    private long crossed;
    private long cutOff;

    void add(CallerRecord callerRecord, List<Execution> runs) {
      if (!callerRecord.isRepeatable() && runs.size() > 1) {
        doubled++;
        example("doubled", callerRecord);
      }
      for (CallerTry one : callerRecord.tries()) {
        Long stop = plannedStops.get(one.entryHost());
        if (one.outcome() == TryOutcome.NO_ANSWER && stop != null && one.endMillis() >= stop) {
          cutOff++;
          example("cut_off", callerRecord);
        }
      }
      classify(callerRecord, runs);
    }

    private void classify(CallerRecord callerRecord, List<Execution> runs) {
      if (callerRecord.tries().stream().anyMatch(it -> isFalseNotRun(callerRecord, it, runs))) {
        lost++;
        example("false_not_run", callerRecord);
      } else if (callerRecord.has(TryOutcome.CROSSED)) {
        crossed++;
        example("crossed", callerRecord);
      } else if (callerRecord.has(TryOutcome.ANSWERED)) {
        answered++;
        if (callerRecord.isShort()) {
          shortWait.recordValue(Math.min(callerRecord.answerMillis(), HIGHEST_LATENCY_MILLIS));
        }
      } else if (callerRecord.has(TryOutcome.UNKNOWN)) {
        unknown++;
      } else if (callerRecord.has(TryOutcome.NO_ANSWER)) {
        countUnanswered(callerRecord);
      } else {
        notRun++;
      }
    }

    /** A "not run" of a later try doesn't settle an earlier try that got no answer. */
    private void countUnanswered(CallerRecord callerRecord) {
      if (callerRecord.has(TryOutcome.NOT_RUN)) {
        unknown++;
      } else {
        lost++;
        example("no_answer", callerRecord);
      }
    }

    private void example(String kind, CallerRecord callerRecord) {
      List<String> keys = examples.computeIfAbsent(kind, it -> new ArrayList<>());
      if (keys.size() < MAX_EXAMPLES) {
        keys.add(callerRecord.key());
      }
    }

    Counts counts() {
      return new Counts(
          answered + unknown + lost + crossed,
          answered,
          notRun,
          unknown,
          lost,
          doubled,
          crossed,
          cutOff,
          lateToLeaving,
          shortWait.getValueAtPercentile(99),
          Map.copyOf(examples));
    }
  }

  /** Returns the tries and executions of one request, for a trace. */
  public synchronized String trace(String key) {
    StringBuilder text = new StringBuilder(key);
    records.stream()
        .filter(it -> it.key().equals(key))
        .forEach(it -> it.tries().forEach(one -> text.append("\n    ").append(one)));
    executions.getOrDefault(key, List.of()).forEach(run -> text.append("\n    ").append(run));
    return text.toString();
  }
}
