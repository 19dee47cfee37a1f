package org.persimmonloom.tool.standin;

import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/** Switches the faults of stand-ins by lines of text. Safe for any thread. */
public final class StandInConsole {
  /** The lines that are understood. */
  public static final String HELP =
      """
      log outage on|off            refuse appends and reads
      log lost-answers on|off      let appends take effect but fail their answers
      log latency MILLIS           delay each append
      log limit COUNT              appends that take effect each second
      log retention MILLIS         let older records expire
      hosts lag MILLIS             show changes of the host list later
      hosts leaving NAME           mark a host as leaving
      endpoint NUMBER FAULT        none|fail_everything|late_answer|short_answer|crossed_answer
      endpoint NUMBER silence N    make the connections of the next N requests silent\
      """;

  private final LogStandIn log;
  private final HostListStandIn hosts;
  private final List<EndpointStandIn> endpoints;

  /** Creates a console for the given stand-ins; endpoints are numbered from 1. */
  public StandInConsole(LogStandIn log, HostListStandIn hosts, List<EndpointStandIn> endpoints) {
    this.log = log;
    this.hosts = hosts;
    this.endpoints = List.copyOf(endpoints);
  }

  /** Carries out one line and returns what to print, or why the line is not understood. */
  public Either<Failure, String> run(String line) {
    List<String> words = List.of(line.strip().split("\\s+"));
    try {
      switch (words.get(0)) {
        case "help" -> {
          return Either.right(HELP);
        }
        case "log" -> runLog(words.get(1), words.get(2));
        case "hosts" -> runHosts(words.get(1), words.get(2));
        case "endpoint" -> runEndpoint(Integer.parseInt(words.get(1)), words);
        default -> throw new IllegalArgumentException("unknown word " + words.get(0));
      }
      return Either.right("done");
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      return Either.left(Failure.of(ResultCode.USAGE, HELP));
    }
  }

  private void runLog(String what, String value) {
    switch (what) {
      case "outage" -> log.faults().setOutage(isOn(value));
      case "lost-answers" -> log.faults().setLosesAnswers(isOn(value));
      case "latency" -> log.faults().setAppendLatencyMillis(Long.parseLong(value));
      case "limit" -> log.faults().setAppendsPerSecond(Integer.parseInt(value));
      case "retention" -> log.setRetentionMillis(Long.parseLong(value));
      default -> throw new IllegalArgumentException(what);
    }
  }

  private static boolean isOn(String value) {
    return switch (value) {
      case "on" -> true;
      case "off" -> false;
      default -> throw new IllegalArgumentException(value);
    };
  }

  private void runHosts(String what, String value) {
    switch (what) {
      case "lag" -> hosts.setLagMillis(Long.parseLong(value));
      case "leaving" -> hosts.setLeaving(value, true);
      default -> throw new IllegalArgumentException(what);
    }
  }

  private void runEndpoint(int number, List<String> words) {
    EndpointStandIn endpoint = endpoints.get(number - 1);
    if (words.get(2).equals("silence")) {
      endpoint.silenceConnections(Integer.parseInt(words.get(3)));
    } else {
      endpoint.setFault(EndpointFault.valueOf(words.get(2).toUpperCase(Locale.ROOT)), 1);
    }
  }
}
