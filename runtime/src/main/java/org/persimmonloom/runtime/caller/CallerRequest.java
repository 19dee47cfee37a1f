package org.persimmonloom.runtime.caller;

import java.util.List;
import java.util.Set;
import org.persimmonloom.core.claim.CompleteResponse.Header;
import org.persimmonloom.core.routing.PendingRequest;
import org.persimmonloom.core.routing.WorkClass;

/**
 * A complete request of a caller, with validated headers.
 *
 * @param service name of the service, the first segment of the path
 * @param target path and query as sent
 * @param headers end-to-end headers, in order
 * @param key text of the request key; null if none was sent
 * @param hint work class that the caller requested; null if none
 * @param arrivedMillis when the headers were received, in milliseconds since the epoch
 * @param deadlineMillis when the caller stops waiting, in milliseconds since the epoch
 */
public record CallerRequest(
    String service,
    String method,
    String target,
    List<Header> headers,
    byte[] body,
    String key,
    WorkClass hint,
    long arrivedMillis,
    long deadlineMillis) {
  public CallerRequest {
    headers = List.copyOf(headers);
  }

  /** Returns the key for run-time estimates: the method and the first two path segments. */
  public String route() {
    int end = target.indexOf('?');
    String path = end < 0 ? target : target.substring(0, end);
    int second = path.indexOf('/', 1);
    int third = second < 0 ? -1 : path.indexOf('/', second + 1);
    return method + ' ' + (third < 0 ? path : path.substring(0, third));
  }

  /** Returns the request as the scheduler queues it, for its next attempt. */
  PendingRequest pending(long id, int attempt, Set<String> triedEndpoints) {
    return new PendingRequest(
        id, route(), hint, arrivedMillis, deadlineMillis, attempt, triedEndpoints);
  }
}
