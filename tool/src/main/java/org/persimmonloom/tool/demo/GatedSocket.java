package org.persimmonloom.tool.demo;

import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketAddress;

/**
 * A socket whose bytes pass a {@link NetworkGate}. As safe for several threads as {@link Socket}.
 *
 * <p>On the side of a caller only the bytes that it reads pass the gate, because the kernel of a
 * paused host still accepts connections and the bytes sent on them.
 */
final class GatedSocket extends Socket {
  private final NetworkGate gate;
  private final boolean gatesWrites;

  GatedSocket(NetworkGate gate, boolean gatesWrites) {
    this.gate = gate;
    this.gatesWrites = gatesWrites;
  }

  @Override
  public void connect(SocketAddress address, int timeoutMillis) throws IOException {
    passWrite();
    gate.failIfCut();
    gate.add(this);
    super.connect(address, timeoutMillis);
  }

  private void passWrite() throws IOException {
    if (gatesWrites) {
      gate.pass();
    }
  }

  @Override
  public InputStream getInputStream() throws IOException {
    return new FilterInputStream(super.getInputStream()) {
      @Override
      public int read() throws IOException {
        int value = super.read();
        gate.pass();
        return value;
      }

      @Override
      public int read(byte[] bytes, int offset, int length) throws IOException {
        int count = super.read(bytes, offset, length);
        gate.pass();
        return count;
      }
    };
  }

  @Override
  public OutputStream getOutputStream() throws IOException {
    OutputStream plain = super.getOutputStream();
    return new FilterOutputStream(plain) {
      @Override
      public void write(byte[] bytes, int offset, int length) throws IOException {
        passWrite();
        plain.write(bytes, offset, length);
      }
    };
  }

  @Override
  public synchronized void close() throws IOException {
    gate.remove(this);
    super.close();
  }
}
