package org.persimmonloom.tool.oracle;

/**
 * One try of a caller.
 *
 * @param number from 1, rising with each try of a request
 * @param entryHost where it was sent
 * @param startMillis when it was sent
 * @param endMillis when it ended
 */
public record CallerTry(
    int number, String entryHost, long startMillis, long endMillis, TryOutcome outcome) {}
