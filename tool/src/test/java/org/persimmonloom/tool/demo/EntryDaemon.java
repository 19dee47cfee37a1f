package org.persimmonloom.tool.demo;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.persimmonloom.runtime.entry.EntryMain;
import org.persimmonloom.tool.standin.FreePorts;

/** An entry daemon as a process of its own. Methods are safe for any thread. */
final class EntryDaemon implements EntryTarget {
  private final String name;
  private final EntryHostProcess.Addresses addresses;
  private final OkHttpClient client =
      new OkHttpClient.Builder().retryOnConnectionFailure(false).build();
  private final Process process;
  private volatile boolean isUp = true;

  /** Starts a daemon whose settings and output are kept in the directory. */
  EntryDaemon(
      int number,
      EntryHostProcess.Addresses addresses,
      List<InetSocketAddress> seeds,
      Platform platform,
      Path directory)
      throws IOException {
    this.name = "entry-" + number;
    this.addresses = addresses;
    String settings =
        EntryHostProcess.settings(
            name,
            DemoDeployment.dataCentre(number),
            DemoDeployment.DEPOT.region(),
            addresses,
            seeds,
            platform);
    Path file = Files.writeString(directory.resolve(name + ".ini"), settings);
    process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx192m",
                "-cp",
                System.getProperty("java.class.path"),
                EntryMain.class.getName(),
                "--settings",
                file.toString())
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve(name + ".log").toFile())
            .start();
  }

  /** Returns free addresses for a daemon. */
  static EntryHostProcess.Addresses chooseAddresses() {
    List<InetSocketAddress> ports = FreePorts.choose(3);
    return new EntryHostProcess.Addresses(ports.get(0), ports.get(1), ports.get(2));
  }

  /** Ends the process without any notice. */
  void kill() throws InterruptedException {
    isUp = false;
    process.destroyForcibly().waitFor();
  }

  /** Stops the scheduling of the process until {@link #resume}. */
  void pause() throws IOException, InterruptedException {
    signal("STOP");
  }

  /** Lets a paused process go on. */
  void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  private void signal(String signal) throws IOException, InterruptedException {
    String pid = Long.toString(process.pid());
    int status = new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
    if (status != 0) {
      throw new IOException("kill -" + signal + " ended with status " + status);
    }
  }

  /** Requests a planned stop and waits for the end; returns the exit code. */
  int stop() throws IOException, InterruptedException {
    isUp = false;
    process.destroy();
    if (!process.waitFor(20, TimeUnit.SECONDS)) {
      throw new IOException(name + " did not stop");
    }
    return process.exitValue();
  }

  InetSocketAddress peerAddress() {
    return addresses.peer();
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public String callerUrl() {
    return "http://127.0.0.1:" + addresses.caller().getPort();
  }

  @Override
  public String operatorUrl() {
    return "http://127.0.0.1:" + addresses.operator().getPort();
  }

  @Override
  public OkHttpClient callerClient() {
    return client;
  }

  @Override
  public boolean isUp() {
    return isUp && process.isAlive();
  }
}
