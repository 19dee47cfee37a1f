package org.persimmonloom.runtime.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import okhttp3.HttpUrl;
import org.persimmonloom.core.claim.CompleteResponse.Header;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.routing.WorkClass;
import org.persimmonloom.runtime.endpoint.EndpointClient;
import org.persimmonloom.runtime.endpoint.HopByHopHeaders;

/**
 * The validated head of a caller's request.
 *
 * @param deadlineMillis the caller's relative deadline; 0 if none was sent
 * @param key text of the request key; null if none was sent
 */
record CallerHeaders(
    String service,
    String method,
    String target,
    List<Header> headers,
    String key,
    long deadlineMillis,
    WorkClass hint) {
  static final HttpString KEY_HEADER = new HttpString("Persimmonloom-Request-Key");
  static final HttpString DEADLINE_HEADER = new HttpString(EndpointClient.DEADLINE_HEADER);
  static final HttpString CLASS_HEADER = new HttpString("Persimmonloom-Class");

  private static final long MAX_DEADLINE_MILLIS = 3_600_000;
  private static final Set<String> METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

  /** Request headers that this host replaces when it sends to the endpoint. */
  private static final Set<String> REPLACED_HEADERS =
      Set.of(
          "content-length",
          EndpointClient.ATTEMPT_HEADER.toLowerCase(Locale.ROOT),
          EndpointClient.DEADLINE_HEADER.toLowerCase(Locale.ROOT));

  /** Returns the head of the request, or the reason for refusing it. */
  static Either<Failure, CallerHeaders> parse(HttpServerExchange exchange) {
    String query = exchange.getQueryString();
    String target = exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    String method = exchange.getRequestMethod().toString();
    if (!METHODS.contains(method)) {
      return invalid("method", "must be one of " + METHODS);
    }
    if (!isNormalized(target)) {
      return invalid("request target", "must be a normalized path and query");
    }
    return Either.<Failure, List<Header>>right(List.of())
        .flatMap(unused -> endToEndHeaders(exchange.getRequestHeaders()))
        .flatMap(
            headers -> parsePlatformHeaders(exchange.getRequestHeaders(), method, target, headers));
  }

  private static Either<Failure, CallerHeaders> parsePlatformHeaders(
      HeaderMap map, String method, String target, List<Header> headers) {
    for (HttpString name : List.of(KEY_HEADER, DEADLINE_HEADER, CLASS_HEADER)) {
      if (map.count(name) > 1) {
        return invalid(name.toString(), "must not be repeated");
      }
    }
    String deadline = map.getFirst(DEADLINE_HEADER);
    long deadlineMillis = 0;
    if (deadline != null) {
      boolean isNumber = deadline.matches("\\d{1,9}");
      deadlineMillis = isNumber ? Long.parseLong(deadline) : -1;
      if (deadlineMillis < 1 || deadlineMillis > MAX_DEADLINE_MILLIS) {
        return invalid(DEADLINE_HEADER.toString(), "must be 1 to " + MAX_DEADLINE_MILLIS);
      }
    }
    String hint = map.getFirst(CLASS_HEADER);
    if (hint != null && !hint.equals("short") && !hint.equals("long")) {
      return invalid(CLASS_HEADER.toString(), "must be short or long");
    }
    WorkClass workClass = hint == null ? null : WorkClass.valueOf(hint.toUpperCase(Locale.ROOT));
    return Either.right(
        new CallerHeaders(
            firstSegment(target),
            method,
            target,
            headers,
            map.getFirst(KEY_HEADER),
            deadlineMillis,
            workClass));
  }

  private static Either<Failure, List<Header>> endToEndHeaders(HeaderMap map) {
    List<Header> all = new ArrayList<>();
    for (HeaderValues values : map) {
      String name = values.getHeaderName().toString();
      for (String value : values) {
        if (!isPrintable(value)) {
          return invalid(name, "must be printable ASCII");
        }
        all.add(new Header(name, value));
      }
    }
    List<Header> kept = new ArrayList<>();
    for (Header header : HopByHopHeaders.remove(all)) {
      if (!REPLACED_HEADERS.contains(header.name().toLowerCase(Locale.ROOT))) {
        kept.add(header);
      }
    }
    return Either.right(kept);
  }

  private static boolean isPrintable(String value) {
    return value
        .chars()
        .allMatch(character -> character == '\t' || (character >= ' ' && character <= '~'));
  }

  /**
   * The HTTP client would rewrite a target that is not normalized, for example its dot segments.
   */
  private static boolean isNormalized(String target) {
    HttpUrl url = target.startsWith("/") ? HttpUrl.parse("http://127.0.0.1" + target) : null;
    if (url == null) {
      return false;
    }
    String query = url.encodedQuery();
    return target.equals(url.encodedPath() + (query == null ? "" : "?" + query));
  }

  private static String firstSegment(String target) {
    int end = 1;
    while (end < target.length() && target.charAt(end) != '/' && target.charAt(end) != '?') {
      end++;
    }
    return target.substring(1, end);
  }

  private static <T> Either<Failure, T> invalid(String name, String reason) {
    return Either.left(Failure.of(ResultCode.HEADER_INVALID, name, reason));
  }
}
