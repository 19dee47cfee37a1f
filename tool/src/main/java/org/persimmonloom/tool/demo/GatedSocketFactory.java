package org.persimmonloom.tool.demo;

import java.net.InetAddress;
import java.net.Socket;
import javax.net.SocketFactory;

/** Makes unconnected sockets that pass a {@link NetworkGate}. Safe for any thread. */
public final class GatedSocketFactory extends SocketFactory {
  private final NetworkGate gate;
  private final boolean gatesWrites;

  private GatedSocketFactory(NetworkGate gate, boolean gatesWrites) {
    this.gate = gate;
    this.gatesWrites = gatesWrites;
  }

  /** Returns a factory for the connections that the gate's entry host opens. */
  public static GatedSocketFactory ofEntryHost(NetworkGate gate) {
    return new GatedSocketFactory(gate, true);
  }

  /** Returns a factory for the connections that others open to the gate's entry host. */
  public static GatedSocketFactory ofCaller(NetworkGate gate) {
    return new GatedSocketFactory(gate, false);
  }

  @Override
  public Socket createSocket() {
    return new GatedSocket(gate, gatesWrites);
  }

  @Override
  public Socket createSocket(String host, int port) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Socket createSocket(String host, int port, InetAddress localHost, int localPort) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Socket createSocket(InetAddress host, int port) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Socket createSocket(
      InetAddress address, int port, InetAddress localAddress, int localPort) {
    throw new UnsupportedOperationException();
  }
}
