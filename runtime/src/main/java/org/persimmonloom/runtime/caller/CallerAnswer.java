package org.persimmonloom.runtime.caller;

import org.persimmonloom.core.claim.CompleteResponse;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.result.RunOutcome;

/**
 * Result of a request for its caller: the complete response of an endpoint, or a numbered failure.
 *
 * @param response null if there is only a {@code failure}
 * @param failure null if the endpoint answered with a status below 500
 */
public record CallerAnswer(CompleteResponse response, Failure failure, RunOutcome run) {
  /** Returns the answer that carries the endpoint's response. */
  public static CallerAnswer of(CompleteResponse response) {
    Failure failure =
        response.status() < 500 ? null : Failure.of(ResultCode.ENDPOINT_FAILED, response.status());
    return new CallerAnswer(response, failure, RunOutcome.RAN);
  }

  /** Returns the refusal of a request that did not run and will not run. */
  public static CallerAnswer notRun(Failure failure) {
    return new CallerAnswer(null, failure, RunOutcome.NOT_RUN);
  }

  /** Returns the answer to a request that may have run. */
  public static CallerAnswer unknown(String reason) {
    return new CallerAnswer(
        null, Failure.of(ResultCode.OUTCOME_UNKNOWN, reason), RunOutcome.UNKNOWN);
  }

  /** Returns the result code. */
  public ResultCode code() {
    return failure == null ? ResultCode.OK : failure.code();
  }

  /** Returns the HTTP status. */
  public int status() {
    if (response != null) {
      return response.status();
    }
    return switch (failure.code()) {
      case HEADER_INVALID, REQUEST_KEY_MISSING, REQUEST_KEY_INVALID -> 400;
      case SERVICE_UNKNOWN -> 404;
      case REQUEST_TIMEOUT -> 408;
      case REQUEST_KEY_REUSED, DUPLICATE_ANSWER_GONE -> 409;
      case SERVICE_WITHDRAWN, REQUEST_KEY_EXPIRED -> 410;
      case BODY_TOO_LARGE -> 413;
      case CANCELLED -> 499;
      case INTERNAL -> 500;
      case OUTCOME_UNKNOWN, ATTEMPTS_EXHAUSTED -> 502;
      case DEADLINE_UNREACHABLE -> 504;
      default -> 503;
    };
  }
}
