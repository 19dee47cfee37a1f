package org.persimmonloom.tool.command;

import io.vavr.control.Either;
import java.util.function.Function;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.result.Failure;

/** Turns the JSON answers of the operators' interface into text. Stateless. */
final class OperatorAnswer {
  private OperatorAnswer() {}

  /** Returns the JSON as it is, or what {@code formatter} makes of the value in it. */
  static <T> Either<Failure, String> format(
      Either<Failure, String> answer, boolean json, Class<T> type, Function<T, String> formatter) {
    if (json) {
      return answer;
    }
    return answer.flatMap(text -> ProposalTypes.CODEC.fromJson(text, type)).map(formatter);
  }

  /** Returns the text for an accepted proposal. */
  static Either<Failure, String> verdict(Either<Failure, String> answer, boolean json) {
    return format(
        answer,
        json,
        ProposalResult.class,
        verdict -> "accepted at offset " + verdict.position().offset() + ": " + verdict.detail());
  }
}
