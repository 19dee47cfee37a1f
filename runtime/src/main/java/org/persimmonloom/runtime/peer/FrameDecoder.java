package org.persimmonloom.runtime.peer;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * Cuts the bytes of a connection into messages. A frame is a 4-byte length (big-endian, of what
 * follows), a 1-byte version and a MessagePack body. The buffer grows with the bytes that arrived,
 * never with a length that a header only declares. After a failure the connection must be closed.
 * Confined to one thread.
 */
final class FrameDecoder {
  /** Version of the frames that this program sends and reads. */
  static final byte VERSION = 1;

  /** Highest value of the length field: version and body. */
  static final int MAX_FRAME_BYTES = 1 << 20;

  static final int LENGTH_BYTES = 4;
  private static final int INITIAL_BYTES = 8 * 1024;

  private ByteBuffer pending = ByteBuffer.allocate(INITIAL_BYTES);

  /** Returns the frame of a message, or why it can't be sent. */
  static Either<Failure, ByteBuffer> frame(PeerMessage message) {
    byte[] body = PeerMessage.CODEC.encode(message);
    if (body.length + 1 > MAX_FRAME_BYTES) {
      return Either.left(Failure.of(ResultCode.BODY_TOO_LARGE, MAX_FRAME_BYTES - 1));
    }
    ByteBuffer frame = ByteBuffer.allocate(LENGTH_BYTES + 1 + body.length);
    frame.putInt(body.length + 1).put(VERSION).put(body).flip();
    return Either.right(frame);
  }

  /** Takes in bytes and returns the messages that are complete, or why the bytes are malformed. */
  Either<Failure, List<PeerMessage>> feed(ByteBuffer bytes) {
    reserve(bytes.remaining());
    pending.put(bytes);
    pending.flip();
    List<PeerMessage> messages = new ArrayList<>();
    while (pending.remaining() >= LENGTH_BYTES) {
      int length = pending.getInt(pending.position());
      if (length < 2 || length > MAX_FRAME_BYTES) {
        return malformed("frame length " + length);
      }
      if (pending.remaining() < LENGTH_BYTES + length) {
        break;
      }
      pending.position(pending.position() + LENGTH_BYTES);
      byte version = pending.get();
      if (version != VERSION) {
        return malformed("frame version " + version);
      }
      byte[] body = new byte[length - 1];
      pending.get(body);
      Either<Failure, PeerMessage> message = PeerMessage.CODEC.decode(body, PeerMessage.class);
      if (message.isLeft()) {
        return Either.left(message.getLeft());
      }
      messages.add(message.get());
    }
    pending.compact();
    return Either.right(messages);
  }

  private void reserve(int bytes) {
    if (pending.remaining() >= bytes) {
      return;
    }
    int needed = pending.position() + bytes;
    ByteBuffer larger = ByteBuffer.allocate(Math.max(needed, pending.capacity() * 2));
    pending.flip();
    larger.put(pending);
    pending = larger;
  }

  private static Either<Failure, List<PeerMessage>> malformed(String reason) {
    return Either.left(Failure.of(ResultCode.DECODE_FAILED, reason));
  }
}
