package org.persimmonloom.core.explain;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.fold.ProposalRegistry;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.fold.ReplicatedTable;
import org.persimmonloom.core.result.ResultCode;

/**
 * A journal of the recent decisions about hosts, pools, waves, jobs and requests.
 *
 * <p>Two limits bound the size: the number of decisions for each subject, and the total number of
 * decisions, beyond which the least recently updated subjects are dropped. A repeated result
 * increments a counter and is not stored again; otherwise a step that is retried every second would
 * displace the history of its subject. The order of the map follows the folded records and is
 * therefore the same on all hosts. Confined to the fold thread.
 */
public final class DecisionJournal
    implements ReplicatedTable<DecisionJournal.Snapshot>, DecisionRecorder {
  static final int MAX_PER_SUBJECT = 12;

  /** Limits the share of the journal in a snapshot to 0.5 MB, at about 250 bytes per decision. */
  static final int MAX_DECISIONS = 2_048;

  static final int MAX_ALERTS = 64;

  /** Truncates long lists of hosts, to bound the size of a decision in bytes. */
  static final int MAX_FIGURES_CHARACTERS = 400;

  private final LinkedHashMap<Subject, ArrayDeque<Decision>> bySubject = new LinkedHashMap<>();
  private final ArrayDeque<Decision> alerts = new ArrayDeque<>();
  private int size;

  /** The complete state of the journal, with the decisions grouped by subject. */
  public record Snapshot(List<Decision> decisions, List<Decision> alerts) {
    public Snapshot {
      decisions = List.copyOf(decisions);
      alerts = List.copyOf(alerts);
    }
  }

  @Override
  public void registerHandlers(ProposalRegistry registry) {}

  /**
   * Records the result if its proposal is {@link Explainable}. {@link ResultCode#ALREADY_APPLIED}
   * is not recorded.
   */
  public void recordResult(ProposalResult result) {
    if (result.proposal() instanceof Explainable explainable
        && result.code() != ResultCode.ALREADY_APPLIED) {
      String figures = result.proposal().getClass().getSimpleName() + ": " + result.detail();
      explainable
          .subjects()
          .forEach(subject -> record(subject, result.position(), result.code(), figures));
    }
  }

  @Override
  public void record(Subject subject, Position position, ResultCode code, String figures) {
    add(
        new Decision(
            position.offset(),
            position.timeMillis(),
            subject,
            code,
            truncate(figures),
            Remedies.of(code),
            1,
            false));
  }

  @Override
  public void alert(Subject subject, Position position, String text) {
    Decision alert =
        new Decision(
            position.offset(), position.timeMillis(), subject, ResultCode.OK, text, "", 1, true);
    add(alert);
    alerts.add(alert);
    if (alerts.size() > MAX_ALERTS) {
      alerts.remove();
    }
  }

  private static String truncate(String text) {
    return text.length() <= MAX_FIGURES_CHARACTERS
        ? text
        : text.substring(0, MAX_FIGURES_CHARACTERS) + "...";
  }

  private void add(Decision decision) {
    ArrayDeque<Decision> decisions = bySubject.remove(decision.subject());
    if (decisions == null) {
      decisions = new ArrayDeque<>();
    }
    bySubject.put(decision.subject(), decisions);
    Decision last = decisions.peekLast();
    if (last != null && hasSameResult(last, decision)) {
      decisions.removeLast();
      decisions.add(withTimes(decision, last.times() + 1));
      return;
    }
    decisions.add(decision);
    size++;
    if (decisions.size() > MAX_PER_SUBJECT) {
      decisions.remove();
      size--;
    }
    dropOldestSubjects();
  }

  private static boolean hasSameResult(Decision last, Decision next) {
    return last.code() == next.code() && last.figures().equals(next.figures());
  }

  private static Decision withTimes(Decision decision, int times) {
    return new Decision(
        decision.offset(),
        decision.timeMillis(),
        decision.subject(),
        decision.code(),
        decision.figures(),
        decision.remedy(),
        times,
        decision.isAlert());
  }

  private void dropOldestSubjects() {
    Iterator<ArrayDeque<Decision>> oldestFirst = bySubject.values().iterator();
    while (size > MAX_DECISIONS) {
      size -= oldestFirst.next().size();
      oldestFirst.remove();
    }
  }

  /** Returns the recorded decisions about a subject, oldest first. */
  public List<Decision> decisionsAbout(Subject subject) {
    ArrayDeque<Decision> decisions = bySubject.get(subject);
    return decisions == null ? List.of() : List.copyOf(decisions);
  }

  /** Returns the retained alerts, oldest first. */
  public List<Decision> alerts() {
    return List.copyOf(alerts);
  }

  @Override
  public Snapshot snapshot() {
    List<Decision> decisions = new ArrayList<>(size);
    bySubject.values().forEach(decisions::addAll);
    return new Snapshot(decisions, List.copyOf(alerts));
  }

  @Override
  public void restore(Snapshot snapshot) {
    bySubject.clear();
    alerts.clear();
    alerts.addAll(snapshot.alerts());
    size = snapshot.decisions().size();
    for (Decision decision : snapshot.decisions()) {
      bySubject.computeIfAbsent(decision.subject(), unused -> new ArrayDeque<>()).add(decision);
    }
  }
}
