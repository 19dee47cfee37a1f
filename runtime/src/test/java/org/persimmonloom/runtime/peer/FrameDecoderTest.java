package org.persimmonloom.runtime.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.member.Heartbeat;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.routing.ServiceLoad;

class FrameDecoderTest {
  private static final PeerMessage.Beat BEAT =
      new PeerMessage.Beat(
          1_700_000_000_000L,
          1_699_999_999_500L,
          heartbeat(),
          List.of(new PeerMessage.Relayed(heartbeat(), 700)));

  private static Heartbeat heartbeat() {
    Map<String, ServiceLoad> loads = new TreeMap<>();
    for (String service : List.of("scan", "round", "order", "night", "backoffice")) {
      loads.put(service, new ServiceLoad(120, 48));
    }
    return new Heartbeat(
        "entry-1",
        1_740_800_000_000_123L,
        1_234_567,
        321,
        400,
        loads,
        List.of("exec-17"),
        List.of());
  }

  private static final List<PeerMessage> MESSAGES =
      List.of(
          new PeerMessage.Hello("entry-1", "127.0.0.1:7200"),
          BEAT,
          new PeerMessage.Question(7, "claim", new byte[] {1, 2}),
          new PeerMessage.Answer(7, null, "no handler"),
          new PeerMessage.Answer(8, new byte[0], null));

  private static byte[] stream() {
    ByteBuffer all = ByteBuffer.allocate(4_096);
    MESSAGES.forEach(message -> all.put(FrameDecoder.frame(message).get()));
    byte[] bytes = new byte[all.flip().remaining()];
    all.get(bytes);
    return bytes;
  }

  /** Guards against frames that are lost or changed when they arrive in pieces. */
  @Property(seed = "11", tries = 300)
  void messagesSurviveAnySplit(@ForAll @Size(20) List<@IntRange(min = 1, max = 90) Integer> sizes) {
    FrameDecoder decoder = new FrameDecoder();
    List<PeerMessage> received = new ArrayList<>();
    ByteBuffer bytes = ByteBuffer.wrap(stream());
    for (int index = 0; bytes.hasRemaining(); index++) {
      int length = Math.min(bytes.remaining(), sizes.get(index % sizes.size()));
      received.addAll(decoder.feed(bytes.slice(bytes.position(), length)).get());
      bytes.position(bytes.position() + length);
    }
    assertThat(PeerMessage.CODEC.toJson(received)).isEqualTo(PeerMessage.CODEC.toJson(MESSAGES));
  }

  /** Guards against exceptions in the thread of the mesh on bytes that are no frames. */
  @Property(seed = "12", tries = 2_000)
  void malformedBytesBecomeNumberedFailure(@ForAll byte[] body, @ForAll byte version) {
    ByteBuffer frame = ByteBuffer.allocate(5 + body.length);
    frame.putInt(body.length + 1).put(version).put(body).flip();
    var result = new FrameDecoder().feed(frame);
    result.peekLeft(failure -> assertThat(failure.code()).isEqualTo(ResultCode.DECODE_FAILED));
    assertThat(result.isLeft() || result.get().isEmpty() || version == FrameDecoder.VERSION)
        .isTrue();
  }

  /** Guards against exceptions on frames that were damaged on their way. */
  @Property(seed = "13", tries = 2_000)
  void damagedFramesNeverThrow(
      @ForAll @Size(max = 4) List<@IntRange(max = 100_000) Integer> places, @ForAll byte value) {
    byte[] bytes = stream();
    places.forEach(place -> bytes[place % bytes.length] = value);
    var result = new FrameDecoder().feed(ByteBuffer.wrap(bytes));
    result.peekLeft(failure -> assertThat(failure.code()).isEqualTo(ResultCode.DECODE_FAILED));
  }

  /** Guards against memory that is reserved for a length that was only declared. */
  @Test
  void lengthOutOfRangeIsMalformed() {
    for (int length : new int[] {-1, 0, 1, FrameDecoder.MAX_FRAME_BYTES + 1, Integer.MAX_VALUE}) {
      ByteBuffer header = ByteBuffer.allocate(4).putInt(length).flip();
      assertThat(new FrameDecoder().feed(header).isLeft()).isTrue();
    }
  }

  /** Guards against answers that the receiver must take for malformed. */
  @Test
  void messageAboveTheLimitIsNotFramed() {
    var large = new PeerMessage.Answer(1, new byte[FrameDecoder.MAX_FRAME_BYTES], null);
    assertThat(FrameDecoder.frame(large).getLeft().code()).isEqualTo(ResultCode.BODY_TOO_LARGE);
  }

  /** Guards against heartbeats above the page's 3 KB/s: 7 peers, 2 beats a second. */
  @Test
  void heartbeatsOfAFullMeshStayBelowTheirBudget() {
    PeerMessage.Beat beat =
        new PeerMessage.Beat(BEAT.sentMillis(), BEAT.echoMillis(), heartbeat(), List.of());
    int bytesPerSecond = 7 * 2 * FrameDecoder.frame(beat).get().remaining();
    System.out.println("heartbeat bytes per second at 8 hosts: " + bytesPerSecond);
    assertThat(bytesPerSecond).isLessThan(3_000);
  }
}
