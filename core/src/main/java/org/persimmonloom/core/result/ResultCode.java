package org.persimmonloom.core.result;

import java.text.MessageFormat;
import java.util.Locale;

/**
 * The numbered results of all operations, each with its message template.
 *
 * <p>A number is never reused for another meaning, because callers and scripts match on it. Numbers
 * are below 256 because the operator command uses them as exit codes. The table in {@code
 * docs/result-codes.md} is checked against this enum. Immutable and safe for any thread.
 */
public enum ResultCode {
  OK(0, "done"),
  ALREADY_APPLIED(1, "already applied: {0}"),

  // Requests of callers.
  SERVICE_UNKNOWN(10, "no service named {0}"),
  BODY_TOO_LARGE(11, "body exceeds {0} bytes"),
  HEADER_INVALID(12, "header {0}: {1}"),
  DEADLINE_UNREACHABLE(13, "the deadline of {0} ms cannot be met"),
  QUEUE_FULL(14, "the queue of service {0} holds its limit of {1} requests"),
  NO_ENDPOINT(15, "service {0} has no usable endpoint"),
  STOPPING(16, "the entry host is stopping"),
  NOT_CURRENT(17, "the entry host is cut off from the platform log and its peers"),
  CANCELLED(18, "the caller cancelled the request"),
  ENDPOINT_FAILED(19, "the endpoint answered with status {0}"),
  ATTEMPTS_EXHAUSTED(20, "no attempt succeeded: {0}"),
  OUTCOME_UNKNOWN(21, "the request may have run: {0}"),
  SERVICE_WITHDRAWN(22, "service {0} is withdrawn"),
  REQUEST_TIMEOUT(23, "the caller did not send the request within {0} ms"),
  OVERLOADED(24, "the entry host holds its limit of {0} concurrent requests"),
  NOT_REGISTERED(25, "the entry host is not registered in the platform log"),

  // Claims on requests that may not be repeated.
  REQUEST_KEY_MISSING(40, "service {0} needs a request key"),
  REQUEST_KEY_INVALID(41, "request key {0}: {1}"),
  REQUEST_KEY_EXPIRED(42, "request key {0} is older than the claim window"),
  REQUEST_KEY_REUSED(43, "request key {0} was used for a different request"),
  CLAIM_LOST(44, "request key {0} is claimed by {1}"),
  CLAIM_NOT_CURRENT(45, "claim {0} is not the current claim of its key"),
  CLAIM_UNAVAILABLE(46, "the claim was not accepted by the platform log within {0} ms"),
  DUPLICATE_ANSWER_GONE(47, "the request ran before; its answer is no longer kept"),

  // Release notes and operators' changes.
  NOTE_INVALID(60, "the release note has {0} errors: {1}"),
  REVISION_CONFLICT(61, "based on revision {0}, but revision {1} by {2} is in force"),
  POOL_NOT_EMPTY(62, "pool {0} still has {1} hosts"),
  DEFINITION_IN_USE(63, "{0} is still used by {1}"),

  // Hosts, budgets, maintenance and moves.
  HOST_UNKNOWN(80, "no host named {0}"),
  POOL_UNKNOWN(81, "no pool named {0}"),
  HOST_STATE_CONFLICT(82, "host {0} is {1}"),
  BUDGET_EXHAUSTED(83, "budget {0} allows {1} unavailable hosts; held by {2}"),
  WAVE_UNKNOWN(84, "no maintenance wave named {0}"),
  WAVE_CONFLICT(85, "host {0} belongs to wave {1}"),
  WAVE_STATE_CONFLICT(86, "wave {0} is {1}"),
  PLAN_STALE(87, "the plan was computed at offset {0}; {1} changed at offset {2}"),
  MOVE_REFUSED(88, "host {0} cannot move to {1}: {2}"),
  WINDOW_TOO_SHORT(89, "the wave needs {0} ms but its window has {1} ms"),

  // Jobs.
  JOB_UNKNOWN(110, "no job named {0}"),
  JOB_INVALID(111, "job {0}: {1}"),
  JOB_STATE_CONFLICT(112, "job {0} is {1}"),
  QUOTA_EXCEEDED(113, "team {0} exceeds its quota of {1}"),
  JOB_PARKED(114, "job {0} is parked: {1}"),
  LEASE_STALE(115, "attempt {1} of job {0} does not hold the lease"),
  NO_CAPACITY(116, "no worker fits job {0}: {1}"),
  TEAM_UNKNOWN(117, "no team named {0}"),

  // The platform log, the fold and the peers.
  LOG_UNAVAILABLE(140, "the platform log did not answer: {0}"),
  DUPLICATE_BATCH(141, "batch {0} of incarnation {1} was folded before"),
  STALE_INCARNATION(142, "incarnation {0} of {1} is over"),
  FOLD_VERSION_UNSUPPORTED(143, "the log uses fold version {0}, this program knows {1}"),
  DECODE_FAILED(144, "cannot decode: {0}"),
  PEER_UNAVAILABLE(145, "peer {0} did not answer: {1}"),
  SNAPSHOT_INVALID(146, "snapshot at offset {0}: {1}"),
  LOG_GAP(147, "records from offset {0} have expired; the log starts at {1}"),
  PROPOSAL_UNDECIDED(148, "no verdict within {0} ms; read the state back before repeating"),
  PROPOSAL_TOO_LARGE(149, "{0} proposals of {1} bytes; a batch holds {2} of {3} bytes"),

  // Settings, commands and measurements.
  SETTINGS_INVALID(160, "the settings have {0} errors: {1}"),
  USAGE(161, "usage: {0}"),
  UNAUTHORIZED(162, "the operator token is missing or wrong"),
  VERDICT_FAILED(163, "an invariant did not hold: {0}"),
  INTERNAL(199, "internal error: {0}");

  private final int number;
  private final String template;

  ResultCode(int number, String template) {
    this.number = number;
    this.template = template;
  }

  /** Returns the stable number of this code, from 0 to 255. */
  public int number() {
    return number;
  }

  /** Returns the message template with numbered placeholders. */
  public String template() {
    return template;
  }

  /** Returns the message with its placeholders replaced by {@code arguments}. */
  public String message(Object... arguments) {
    Object[] texts = new Object[arguments.length];
    for (int i = 0; i < arguments.length; i++) {
      texts[i] = String.valueOf(arguments[i]);
    }
    return new MessageFormat(template.replace("'", "''"), Locale.ROOT).format(texts);
  }
}
