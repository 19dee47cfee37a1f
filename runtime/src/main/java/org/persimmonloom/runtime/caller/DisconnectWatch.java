package org.persimmonloom.runtime.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicReference;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Detects that a caller closed its connection while its request is in progress. The server itself
 * does not read from the connection until the response is sent.
 *
 * <p>Bytes of a pipelined request are pushed back to the connection. All methods run on the
 * connection's I/O thread.
 */
final class DisconnectWatch {
  private static final AttachmentKey<AtomicReference<Runnable>> ON_CLOSED =
      AttachmentKey.create(AtomicReference.class);
  private static final Runnable NO_ACTION = () -> {};

  private DisconnectWatch() {}

  /**
   * Calls {@code onClosed} when the caller closes the connection before the response is complete.
   */
  static void start(HttpServerExchange exchange, Runnable onClosed) {
    closeAction(exchange).set(onClosed);
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          closeAction(ended).set(NO_ACTION);
          next.proceed();
        });
    if (!(exchange.getConnection() instanceof HttpServerConnection connection)
        || connection.getExtraBytes() != null) {
      return;
    }
    ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
    source.setReadListener(channel -> onReadable(connection, onClosed));
    connection.getOriginalSourceConduit().resumeReads();
  }

  /**
   * Returns the action to run when the connection closes. All requests of a connection share one
   * close listener.
   */
  private static AtomicReference<Runnable> closeAction(HttpServerExchange exchange) {
    ServerConnection connection = exchange.getConnection();
    AtomicReference<Runnable> known = connection.getAttachment(ON_CLOSED);
    if (known != null) {
      return known;
    }
    AtomicReference<Runnable> created = new AtomicReference<>(NO_ACTION);
    connection.putAttachment(ON_CLOSED, created);
    connection.addCloseListener(closed -> created.getAndSet(NO_ACTION).run());
    return created;
  }

  private static void onReadable(HttpServerConnection connection, Runnable onClosed) {
    PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
    ByteBuffer buffer = pooled.getBuffer();
    boolean isKept = false;
    try {
      int count = connection.getOriginalSourceConduit().read(buffer);
      if (count > 0) {
        buffer.flip();
        connection.ungetRequestBytes(pooled);
        isKept = true;
        connection.getOriginalSourceConduit().suspendReads();
      } else if (count < 0) {
        close(connection, onClosed);
      }
    } catch (IOException e) {
      close(connection, onClosed);
    } finally {
      if (!isKept) {
        pooled.close();
      }
    }
  }

  private static void close(HttpServerConnection connection, Runnable onClosed) {
    connection.getOriginalSourceConduit().suspendReads();
    onClosed.run();
    IoUtils.safeClose(connection);
  }
}
