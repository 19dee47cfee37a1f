package org.persimmonloom.runtime.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import org.persimmonloom.core.claim.CompleteResponse;
import org.persimmonloom.core.claim.CompleteResponse.Header;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.endpoint.EndpointClient;

/**
 * One HTTP exchange with a caller: reads the request, starts it and writes the answer. Confined to
 * the I/O thread of the connection.
 */
final class CallerExchange {
  /** Answer header with the number of the result code. */
  static final HttpString RESULT_HEADER = new HttpString("Persimmonloom-Result");

  /** Answer header that says whether the request ran. */
  static final HttpString RUN_HEADER = new HttpString("Persimmonloom-Run");

  /** Response headers of the endpoint that this host replaces. */
  private static final Set<String> REPLACED_HEADERS =
      Set.of(
          "content-length",
          RESULT_HEADER.toString().toLowerCase(Locale.ROOT),
          RUN_HEADER.toString().toLowerCase(Locale.ROOT),
          EndpointClient.ATTEMPT_HEADER.toLowerCase(Locale.ROOT));

  /** Larger bodies are refused without reading them; the caller may then see a reset connection. */
  private static final long MAX_DISCARDED_BYTES = 4L * CallerListener.MAX_BODY_BYTES;

  private final HttpServerExchange exchange;
  private final RequestService requests;
  private final RequestContext context;
  private final MemoryBudget memory;
  private final CallerLimits limits;
  private final long arrivedMillis;
  private final AtomicLong reservedBytes = new AtomicLong();
  private String service = RequestMetrics.NO_SERVICE;
  private boolean isAnswered;
  private boolean isReceived;

  CallerExchange(
      HttpServerExchange exchange,
      RequestService requests,
      RequestContext context,
      MemoryBudget memory,
      CallerLimits limits) {
    this.exchange = exchange;
    this.requests = requests;
    this.context = context;
    this.memory = memory;
    this.limits = limits;
    arrivedMillis = context.now();
  }

  /** Validates the head and reads the body. */
  void start() {
    Either<Failure, CallerHeaders> head = CallerHeaders.parse(exchange);
    head.peek(headers -> service = headers.service());
    Either<Failure, ServiceDefinition> found =
        head.flatMap(headers -> requests.findAccepting(headers.service()));
    if (found.isLeft()) {
      refuse(found.getLeft());
      return;
    }
    long length = exchange.getRequestContentLength();
    if (length > CallerListener.MAX_BODY_BYTES) {
      exchange.setPersistent(false);
      refuseTooLarge(length);
      return;
    }
    long reserved =
        exchange.isRequestComplete() ? 0 : length < 0 ? CallerListener.MAX_BODY_BYTES : length;
    if (!memory.tryReserve(reserved)) {
      refuse(Failure.of(ResultCode.OVERLOADED, limits.requests()));
      return;
    }
    reservedBytes.set(reserved);
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          memory.release(reservedBytes.getAndSet(0));
          next.proceed();
        });
    receive(head.get(), found.get());
  }

  /**
   * Reads and discards a moderately oversized body before refusing it. Closing the connection while
   * the caller is still sending would reset it, and the caller would lose the answer.
   */
  private void refuseTooLarge(long length) {
    Failure failure = Failure.of(ResultCode.BODY_TOO_LARGE, CallerListener.MAX_BODY_BYTES);
    if (length > MAX_DISCARDED_BYTES) {
      refuse(failure);
      return;
    }
    exchange.setMaxEntitySize(MAX_DISCARDED_BYTES);
    Future<?> timeout =
        context.timer.after(
            limits.sendMillis(), () -> exchange.getIoThread().execute(this::refuseSlowSender));
    exchange
        .getRequestReceiver()
        .receivePartialBytes(
            (received, part, isLast) -> {
              if (isLast) {
                timeout.cancel(false);
                isReceived = true;
                refuse(failure);
              }
            },
            (failed, error) -> {
              timeout.cancel(false);
              isReceived = true;
              refuseUnreadable(error);
            });
  }

  private void receive(CallerHeaders head, ServiceDefinition definition) {
    Future<?> timeout =
        context.timer.after(
            limits.sendMillis(), () -> exchange.getIoThread().execute(this::refuseSlowSender));
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) -> {
              timeout.cancel(false);
              isReceived = true;
              if (!isAnswered) {
                exchange.dispatch(
                    SameThreadExecutor.INSTANCE, () -> submit(head, definition, body));
              }
            },
            (failed, error) -> {
              timeout.cancel(false);
              isReceived = true;
              refuseUnreadable(error);
            });
  }

  private void refuseSlowSender() {
    if (!isReceived && !isAnswered) {
      exchange.setPersistent(false);
      refuse(Failure.of(ResultCode.REQUEST_TIMEOUT, limits.sendMillis()));
    }
  }

  private void refuseUnreadable(IOException error) {
    exchange.setPersistent(false);
    refuse(
        error instanceof RequestTooBigException
            ? Failure.of(ResultCode.BODY_TOO_LARGE, CallerListener.MAX_BODY_BYTES)
            : Failure.of(ResultCode.CANCELLED));
  }

  private void submit(CallerHeaders head, ServiceDefinition definition, byte[] body) {
    if (body.length > 0 && (head.method().equals("GET") || head.method().equals("HEAD"))) {
      refuse(
          Failure.of(ResultCode.HEADER_INVALID, "Content-Length", head.method() + " has no body"));
      return;
    }
    long deadlineMillis =
        head.deadlineMillis() > 0 ? head.deadlineMillis() : definition.deadlineMillis();
    RequestHandle handle =
        requests.accept(
            new CallerRequest(
                head.service(),
                head.method(),
                head.target(),
                head.headers(),
                body,
                head.key(),
                head.hint(),
                arrivedMillis,
                arrivedMillis + deadlineMillis));
    if (!handle.answer().isDone()) {
      DisconnectWatch.start(exchange, handle::cancel);
    }
    handle.answer().thenAccept(answer -> exchange.getIoThread().execute(() -> write(answer)));
  }

  /** Refuses a request that was not started, as not run. */
  void refuse(Failure failure) {
    CallerAnswer answer = CallerAnswer.notRun(failure);
    requests.countRefusal(service, answer);
    write(answer);
  }

  private void write(CallerAnswer answer) {
    if (isAnswered || exchange.isResponseStarted()) {
      return;
    }
    isAnswered = true;
    exchange.setStatusCode(answer.status());
    if (answer.code() == ResultCode.STOPPING) {
      exchange.setPersistent(false);
    }
    HeaderMap headers = exchange.getResponseHeaders();
    headers.put(RESULT_HEADER, answer.code().number());
    headers.put(RUN_HEADER, answer.run().headerValue());
    if (answer.response() == null) {
      headers.put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
      exchange.getResponseSender().send(answer.failure() + "\n");
      return;
    }
    writeResponse(headers, answer.response());
  }

  private void writeResponse(HeaderMap headers, CompleteResponse response) {
    memory.reserve(response.body().length);
    reservedBytes.addAndGet(response.body().length);
    boolean isHead = exchange.getRequestMethod().toString().equals("HEAD");
    for (Header header : response.headers()) {
      String name = header.name().toLowerCase(Locale.ROOT);
      if (!REPLACED_HEADERS.contains(name) || (isHead && name.equals("content-length"))) {
        headers.add(new HttpString(header.name()), header.value());
      }
    }
    if (isHead || response.status() == 204 || response.status() == 304) {
      exchange.endExchange();
    } else {
      exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
    }
  }
}
