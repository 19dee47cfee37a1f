package org.persimmonloom.tool.demo;

import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.ProtocolException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.result.RunOutcome;
import org.persimmonloom.tool.oracle.CallerRecord;
import org.persimmonloom.tool.oracle.CallerTry;
import org.persimmonloom.tool.oracle.TryOutcome;
import org.persimmonloom.tool.standin.EndpointStandIn;

/**
 * Sends requests as callers do: a request that was refused or got no answer is sent again at
 * another entry host with the same key. Safe for any thread; calls block.
 */
public final class Caller {
  private static final int MAX_TRIES = 4;
  private static final long BACKOFF_MILLIS = 100;

  /** How long a caller waits past its deadline before it gives up on an entry host. */
  private static final long PATIENCE_MILLIS = 1_500;

  private final Balancer balancer;
  private final ExecutorService executor;
  private final Map<String, Integer> results = new TreeMap<>();

  /** What a caller is told. */
  private record Told(int result, TryOutcome outcome) {
    private static Told without(TryOutcome outcome) {
      return new Told(CallerTry.NO_RESULT, outcome);
    }
  }

  /** Creates callers that send through a balancer; duplicates are sent by the executor. */
  public Caller(Balancer balancer, ExecutorService executor) {
    this.balancer = balancer;
    this.executor = executor;
  }

  /** Sends the request until it is settled, and returns all tries. */
  public CallerRecord call(CallerRequest request, Random random) {
    List<CallerTry> tries = new ArrayList<>();
    EntryTarget last = null;
    for (int number = 1; number <= MAX_TRIES && !Thread.currentThread().isInterrupted(); number++) {
      Optional<EntryTarget> host = balancer.pick(random, last);
      if (host.isPresent()) {
        last = host.get();
        tries.add(send(last, request, number));
        if (isFinal(tries.get(tries.size() - 1).outcome())) {
          break;
        }
      }
      pause(number * BACKOFF_MILLIS + random.nextInt((int) BACKOFF_MILLIS));
    }
    return recordOf(request, tries);
  }

  /** Sends the same request to two entry hosts at once, and returns both tries. */
  public CallerRecord callTwice(CallerRequest request, Random random) {
    EntryTarget first = balancer.pick(random, null).orElse(null);
    EntryTarget second = balancer.pick(random, first).orElse(null);
    if (first == null || second == null) {
      return recordOf(request, List.of());
    }
    CompletableFuture<CallerTry> other =
        CompletableFuture.supplyAsync(() -> send(second, request, 2), executor);
    return recordOf(request, List.of(send(first, request, 1), other.join()));
  }

  private static CallerRecord recordOf(CallerRequest request, List<CallerTry> tries) {
    return new CallerRecord(
        request.key(), request.service().isRepeatable(), request.isShort(), tries);
  }

  private static boolean isFinal(TryOutcome outcome) {
    return outcome == TryOutcome.ANSWERED
        || outcome == TryOutcome.CROSSED
        || outcome == TryOutcome.UNKNOWN;
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends one try to one entry host. */
  CallerTry send(EntryTarget host, CallerRequest request, int number) {
    long start = System.currentTimeMillis();
    Told told = sendOnce(host, request, number);
    return new CallerTry(
        number, host.name(), start, System.currentTimeMillis(), told.result(), told.outcome());
  }

  private Told sendOnce(EntryTarget host, CallerRequest request, int number) {
    Request http =
        new Request.Builder()
            .url(host.callerUrl() + request.target(number))
            .header("Persimmonloom-Request-Key", request.key())
            .header("Persimmonloom-Deadline-Millis", Long.toString(request.deadlineMillis()))
            .header("Persimmonloom-Class", request.isShort() ? "short" : "long")
            .build();
    long timeout = request.deadlineMillis() + PATIENCE_MILLIS;
    OkHttpClient client =
        host.callerClient()
            .newBuilder()
            .callTimeout(timeout, TimeUnit.MILLISECONDS)
            .readTimeout(timeout, TimeUnit.MILLISECONDS)
            .build();
    boolean hasHeaders = false;
    try (Response response = client.newCall(http).execute()) {
      hasHeaders = true;
      int result =
          Integer.parseInt(response.header("Persimmonloom-Result", "" + CallerTry.NO_RESULT));
      String expected = EndpointStandIn.answerText(request.key(), request.path());
      Told told = new Told(result, classify(response, result, response.body().string(), expected));
      count(response.code() + "/" + result);
      return told;
    } catch (ConnectException e) {
      count("not-sent");
      return Told.without(TryOutcome.NOT_SENT);
    } catch (ProtocolException | EOFException e) {
      count("incomplete");
      return Told.without(hasHeaders && host.isUp() ? TryOutcome.CROSSED : TryOutcome.NO_ANSWER);
    } catch (IOException e) {
      count(e.getClass().getSimpleName());
      return Told.without(TryOutcome.NO_ANSWER);
    }
  }

  /** An answer that doesn't say whether the request ran is no answer. */
  private static TryOutcome classify(Response response, int result, String text, String expected) {
    String run = response.header("Persimmonloom-Run", "");
    if (run.equals(RunOutcome.NOT_RUN.headerValue())) {
      return TryOutcome.NOT_RUN;
    }
    boolean isGone = result == ResultCode.DUPLICATE_ANSWER_GONE.number();
    if (run.equals(RunOutcome.UNKNOWN.headerValue()) || isGone) {
      return TryOutcome.UNKNOWN;
    }
    if (!run.equals(RunOutcome.RAN.headerValue())) {
      return TryOutcome.NO_ANSWER;
    }
    if (result == ResultCode.OK.number()) {
      return text.equals(expected) ? TryOutcome.ANSWERED : TryOutcome.CROSSED;
    }
    return result == ResultCode.ENDPOINT_FAILED.number()
        ? TryOutcome.ANSWERED
        : TryOutcome.NO_ANSWER;
  }

  private synchronized void count(String result) {
    results.merge(result, 1, Integer::sum);
  }

  /** Returns the number of tries by HTTP status and result code. */
  public synchronized Map<String, Integer> results() {
    return new TreeMap<>(results);
  }
}
