package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import javax.inject.Inject;
import org.persimmonloom.core.claim.Claim;
import org.persimmonloom.core.explain.Decision;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.job.Job;
import org.persimmonloom.core.maintenance.PoolStatus;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.result.RunOutcome;
import org.persimmonloom.runtime.log.ReplicatedState;

/** {@code GET /explain?kind=host&id=NAME}: the recent decisions about one subject. */
public final class ExplainRoute implements OperatorRoute {
  private static final int MAX_POOL_DECISIONS = 40;

  private final ReplicatedState state;

  @Inject
  public ExplainRoute(ReplicatedState state) {
    this.state = state;
  }

  @Override
  public String method() {
    return "GET";
  }

  @Override
  public String path() {
    return "/explain";
  }

  @Override
  public Either<Failure, ?> handle(OperatorRequest request) {
    String kind = request.parameter("kind").orElse("").toUpperCase(Locale.ROOT);
    Optional<String> id = request.parameter("id");
    for (Subject.Kind known : Subject.Kind.values()) {
      if (known.name().equals(kind) && id.isPresent()) {
        return state.read(fleet -> explain(fleet, new Subject(known, id.get())));
      }
    }
    return Either.left(Failure.of(ResultCode.USAGE, "explain host|pool|wave|job|request ID"));
  }

  private static Either<Failure, Explanation> explain(FleetState fleet, Subject subject) {
    Explanation explanation =
        new Explanation(subject, present(fleet, subject), decisions(fleet, subject));
    if (explanation.present().isEmpty() && explanation.decisions().isEmpty()) {
      return Either.left(unknown(subject));
    }
    return Either.right(explanation);
  }

  private static String present(FleetState fleet, Subject subject) {
    return switch (subject.kind()) {
      case HOST -> fleet.hosts().find(subject.id()).map(ExplainRoute::text).orElse("");
      case POOL -> fleet.poolStatus(subject.id()).map(ExplainRoute::text).orElse("");
      case WAVE ->
          fleet
              .waves()
              .find(subject.id())
              .map(wave -> (wave.status() + " " + wave.reason()).strip())
              .orElse("");
      case JOB -> fleet.jobs().find(subject.id()).map(ExplainRoute::text).orElse("");
      case REQUEST -> claimText(fleet, subject.id());
      case LIST -> "";
    };
  }

  private static String text(Host host) {
    String drain =
        host.drain() == null ? "" : " for " + host.drain().cause() + " " + host.drain().owner();
    return host.stateText() + drain + " in pool " + host.pool();
  }

  private static String text(Job job) {
    String attempt =
        job.live() == null
            ? ""
            : ", attempt "
                + job.live().number()
                + " at "
                + job.live().worker()
                + " leased until "
                + job.live().leaseUntilMillis();
    String reason = job.reason().isEmpty() ? "" : ", " + job.reason();
    return job.state()
        + attempt
        + ", "
        + job.history().failures()
        + " failures on "
        + job.history().failedWorkers()
        + reason;
  }

  /** A key may be claimed once for each service; an operator usually knows only the key. */
  private static String claimText(FleetState fleet, String key) {
    List<String> claims = new ArrayList<>();
    for (String service : fleet.releases().services().keySet()) {
      fleet
          .claims()
          .find(service, key)
          .map(claim -> service + ": " + meaning(claim))
          .ifPresent(claims::add);
    }
    return String.join("; ", claims);
  }

  private static String meaning(Claim claim) {
    return switch (claim.state()) {
      case HELD -> "held by " + claim.holder() + ", which alone may send the request";
      case RELEASED -> "released by " + claim.holder() + " without being sent; may be sent again";
      case SETTLED ->
          claim.outcome() == RunOutcome.RAN
              ? "ran under " + claim.holder()
              : "outcome unknown under " + claim.holder() + "; never sent again";
    };
  }

  private static String text(PoolStatus pool) {
    return pool.hosts() + " hosts, " + pool.hostsByState() + ", budget room " + pool.budgetRoom();
  }

  /** A pool is also explained by what was refused about its hosts, such as a used up budget. */
  private static List<Decision> decisions(FleetState fleet, Subject subject) {
    List<Decision> decisions = new ArrayList<>(fleet.journal().decisionsAbout(subject));
    if (subject.kind() != Subject.Kind.POOL) {
      return decisions;
    }
    for (Host host : fleet.hosts().inPool(subject.id())) {
      fleet.journal().decisionsAbout(Subject.host(host.name())).stream()
          .filter(decision -> decision.code() != ResultCode.OK || decision.isAlert())
          .forEach(decisions::add);
    }
    decisions.sort(Comparator.comparingLong(Decision::offset));
    int from = Math.max(0, decisions.size() - MAX_POOL_DECISIONS);
    return decisions.subList(from, decisions.size());
  }

  private static Failure unknown(Subject subject) {
    return switch (subject.kind()) {
      case HOST -> Failure.of(ResultCode.HOST_UNKNOWN, subject.id());
      case POOL -> Failure.of(ResultCode.POOL_UNKNOWN, subject.id());
      case WAVE -> Failure.of(ResultCode.WAVE_UNKNOWN, subject.id());
      case JOB -> Failure.of(ResultCode.JOB_UNKNOWN, subject.id());
      case REQUEST, LIST ->
          Failure.of(ResultCode.USAGE, "no decision about " + subject.id() + " is kept");
    };
  }
}
