package org.persimmonloom.tool.standin;

/**
 * One request that an endpoint began to run.
 *
 * @param endpoint name of the endpoint
 * @param service first segment of the path
 * @param key the caller's key, from the query or the request-key header; empty if none
 * @param callerTry number of the caller's try, from the query; 0 if none
 * @param attempt the entry host's attempt identifier; empty if none
 * @param arrivedMillis when the whole request had arrived, by the clock of the stand-in
 * @param timeMillis when it began to run, after its wait for a slot
 */
public record Execution(
    String endpoint,
    String service,
    String key,
    int callerTry,
    String attempt,
    long arrivedMillis,
    long timeMillis) {}
