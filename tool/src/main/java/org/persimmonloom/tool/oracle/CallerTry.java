package org.persimmonloom.tool.oracle;

/**
 * One try of a caller.
 *
 * @param number from 1, rising with each try of a request
 * @param entryHost where it was sent
 * @param startMillis when it was sent
 * @param endMillis when it ended
 * @param result number of the result code that the entry host gave; {@link #NO_RESULT} if none
 */
public record CallerTry(
    int number,
    String entryHost,
    long startMillis,
    long endMillis,
    int result,
    TryOutcome outcome) {
  /** Stands for no result code. */
  public static final int NO_RESULT = -1;
}
