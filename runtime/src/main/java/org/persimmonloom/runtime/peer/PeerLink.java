package org.persimmonloom.runtime.peer;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.List;
import org.persimmonloom.core.result.Failure;

/**
 * One connection to a peer: decodes what arrives and queues what is sent. Bytes on the queue are
 * bounded, because a peer that does not read must not fill this process's memory. Confined to the
 * thread of the mesh.
 */
final class PeerLink {
  static final int MAX_QUEUED_BYTES = 4 << 20;
  private static final int READ_BYTES = 64 * 1024;

  private final SocketChannel channel;
  private final SelectionKey key;
  private final boolean isDialled;
  private final String dialTarget;
  private final FrameDecoder decoder = new FrameDecoder();
  private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
  private int queuedBytes;
  private long lastFrameMillis;
  private long peerSentMillis;
  private String peerName;
  private String peerAddress;

  /** Malformed bytes on a connection. */
  static final class MalformedFrameException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(Failure failure) {
      super(failure.toString());
    }
  }

  /**
   * Creates the link of an open or opening connection.
   *
   * @param dialTarget address that this process connected to; null if the peer connected
   */
  PeerLink(SocketChannel channel, SelectionKey key, String dialTarget, long nowMillis) {
    this.channel = channel;
    this.key = key;
    this.isDialled = dialTarget != null;
    this.dialTarget = dialTarget;
    this.lastFrameMillis = nowMillis;
  }

  /** Returns the peer's name; null until it said hello. */
  String peerName() {
    return peerName;
  }

  /** Returns the address at which the peer accepts connections; null until it said hello. */
  String peerAddress() {
    return peerAddress;
  }

  void introduce(PeerMessage.Hello hello) {
    peerName = hello.name();
    peerAddress = hello.address();
  }

  boolean isDialled() {
    return isDialled;
  }

  /** Returns the address this process connected to; null if the peer connected. */
  String dialTarget() {
    return dialTarget;
  }

  boolean isOpen() {
    return channel.isOpen();
  }

  /** Returns for how long no frame arrived. */
  long silentMillis(long nowMillis) {
    return nowMillis - lastFrameMillis;
  }

  /** Returns the sending time in the peer's last beat, which the next beat echoes. */
  long peerSentMillis() {
    return peerSentMillis;
  }

  void setPeerSentMillis(long millis) {
    peerSentMillis = millis;
  }

  /** Completes the opening of a dialled connection. */
  void finishConnect() throws IOException {
    channel.finishConnect();
    key.interestOps(SelectionKey.OP_READ | (queue.isEmpty() ? 0 : SelectionKey.OP_WRITE));
  }

  boolean isConnected() {
    return channel.isConnected();
  }

  /** Reads what has arrived and returns the complete messages. */
  List<PeerMessage> read(ByteBuffer buffer, long nowMillis) throws IOException {
    buffer.clear().limit(READ_BYTES);
    int count = channel.read(buffer);
    if (count < 0) {
      throw new EOFException("closed by the peer");
    }
    buffer.flip();
    List<PeerMessage> messages = decoder.feed(buffer).getOrElseThrow(MalformedFrameException::new);
    if (!messages.isEmpty()) {
      lastFrameMillis = nowMillis;
    }
    return messages;
  }

  /** Returns a buffer large enough for {@link #read}. */
  static ByteBuffer readBuffer() {
    return ByteBuffer.allocate(READ_BYTES);
  }

  /** Queues a frame and writes what the connection takes; returns false if the queue is full. */
  boolean send(ByteBuffer frame) throws IOException {
    if (queuedBytes + frame.remaining() > MAX_QUEUED_BYTES) {
      return false;
    }
    queuedBytes += frame.remaining();
    queue.add(frame);
    if (isConnected()) {
      flush();
    }
    return true;
  }

  /** Returns whether nothing waits to be written. */
  boolean isIdle() {
    return queue.isEmpty();
  }

  /** Writes what the connection takes. */
  void flush() throws IOException {
    while (!queue.isEmpty()) {
      ByteBuffer frame = queue.peek();
      queuedBytes -= channel.write(frame);
      if (frame.hasRemaining()) {
        break;
      }
      queue.poll();
    }
    key.interestOps(SelectionKey.OP_READ | (queue.isEmpty() ? 0 : SelectionKey.OP_WRITE));
  }

  void close() {
    try {
      channel.close();
    } catch (IOException e) {
      // A connection that fails to close is given up; its channel is unusable in any case.
      queue.clear();
    }
  }
}
