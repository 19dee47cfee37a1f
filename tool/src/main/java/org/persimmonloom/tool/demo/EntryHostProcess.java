package org.persimmonloom.tool.demo;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.runtime.entry.EntryHostService;
import org.persimmonloom.runtime.settings.EntrySettings;
import org.persimmonloom.runtime.settings.EntrySettingsParser;

/**
 * One entry host inside this process, behind a {@link NetworkGate}. Started once and then stopped
 * or lost once; other methods are safe for any thread.
 */
public final class EntryHostProcess implements EntryTarget {
  /** Token of the operators in a demo. */
  public static final String TOKEN = "demo-operator-token";

  private static final int IDLE_CONNECTIONS = 64;
  private static final long IDLE_SECONDS = 5;

  private final String name;
  private final Addresses addresses;
  private final NetworkGate gate = new NetworkGate();
  private final OkHttpClient callerClient;
  private final EntryHostService service;
  private volatile boolean isUp;

  /** Where an entry host listens. */
  public record Addresses(
      InetSocketAddress caller, InetSocketAddress operator, InetSocketAddress peer) {}

  /** Creates an entry host that will listen at the addresses. */
  public EntryHostProcess(
      String name,
      String dataCentre,
      String region,
      Addresses addresses,
      List<InetSocketAddress> seeds,
      Platform platform) {
    this.name = name;
    this.addresses = addresses;
    this.callerClient =
        new OkHttpClient.Builder()
            .socketFactory(GatedSocketFactory.ofCaller(gate))
            .connectionPool(new ConnectionPool(IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS))
            .retryOnConnectionFailure(false)
            .build();
    String settings = settings(name, dataCentre, region, addresses, seeds, platform);
    service =
        DaggerDemoEntryComponent.factory()
            .create(parse(settings), new GatedClock(gate), gate)
            .entryHost();
  }

  /** Returns the settings of an entry host that listens at the addresses. */
  static String settings(
      String name,
      String dataCentre,
      String region,
      Addresses addresses,
      List<InetSocketAddress> seeds,
      Platform platform) {
    String seedText = String.join(",", seeds.stream().map(EntryHostProcess::text).toList());
    return """
        [entry]
        name = %s
        data_centre = %s
        region = %s
        [caller]
        address = %s
        [operator]
        address = %s
        token = %s
        [peer]
        address = %s
        seeds = %s
        [platform]
        log_url = %s
        host_list_url = %s
        [stop]
        balancer_delay_millis = 1000
        deadline_millis = 15000
        """
        .formatted(
            name,
            dataCentre,
            region,
            text(addresses.caller()),
            text(addresses.operator()),
            TOKEN,
            text(addresses.peer()),
            seedText,
            platform.logUrl(),
            platform.hostListUrl());
  }

  private static EntrySettings parse(String settings) {
    return new EntrySettingsParser()
        .parse(settings)
        .getOrElseThrow((Failure failure) -> new IllegalStateException(failure.toString()));
  }

  private static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  /** Starts it. */
  public void start() throws IOException {
    service.start();
    isUp = true;
  }

  /** Stops it as a signal would. Blocks until it has stopped. */
  public void stop() throws InterruptedException {
    isUp = false;
    service.stop();
  }

  /**
   * Cuts it off without letting it say anything. Its threads are left behind, blocked or failing.
   */
  public void lose() throws IOException {
    isUp = false;
    gate.cut();
  }

  /** Returns the gate of its connections. */
  public NetworkGate gate() {
    return gate;
  }

  @Override
  public OkHttpClient callerClient() {
    return callerClient;
  }

  @Override
  public boolean isUp() {
    return isUp;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public String callerUrl() {
    return "http://" + text(addresses.caller());
  }

  @Override
  public String operatorUrl() {
    return "http://" + text(addresses.operator());
  }

  /** Returns where it accepts connections of other entry hosts. */
  public InetSocketAddress peerAddress() {
    return addresses.peer();
  }
}
