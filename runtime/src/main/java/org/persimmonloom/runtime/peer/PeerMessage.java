package org.persimmonloom.runtime.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.persimmonloom.core.member.Heartbeat;
import org.persimmonloom.core.wire.Codec;

/** The body of a frame between entry hosts. Arrays without field names keep heartbeats small. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
public sealed interface PeerMessage {
  /** The codec that knows every message. */
  Codec CODEC =
      new Codec(Map.of("h", Hello.class, "b", Beat.class, "q", Question.class, "a", Answer.class));

  /**
   * The first message in each direction.
   *
   * @param name the sender
   * @param address {@code ip:port} at which the sender accepts connections
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @JsonIgnoreProperties(ignoreUnknown = true)
  record Hello(String name, String address) implements PeerMessage {
    public Hello {
      Objects.requireNonNull(name, "name");
      Objects.requireNonNull(address, "address");
    }
  }

  /**
   * A heartbeat.
   *
   * @param sentMillis the sender's clock
   * @param echoMillis {@code sentMillis} of the last beat that the sender received over this
   *     connection; 0 if none. It tells the receiver at which moment of its own clock the sender
   *     was alive, whatever the delays and clocks in between.
   * @param heartbeat the sender's state
   * @param relayed heartbeats of hosts that the receiver may not be connected to
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @JsonIgnoreProperties(ignoreUnknown = true)
  record Beat(long sentMillis, long echoMillis, Heartbeat heartbeat, List<Relayed> relayed)
      implements PeerMessage {
    public Beat {
      Objects.requireNonNull(heartbeat, "heartbeat");
      relayed = relayed == null ? List.of() : List.copyOf(relayed);
    }
  }

  /**
   * A heartbeat of a third host.
   *
   * @param agoMillis how long ago the sender knew that host to be alive
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @JsonIgnoreProperties(ignoreUnknown = true)
  record Relayed(Heartbeat heartbeat, long agoMillis) {
    public Relayed {
      Objects.requireNonNull(heartbeat, "heartbeat");
      if (agoMillis < 0 || agoMillis > Heartbeat.NEVER) {
        throw new IllegalArgumentException("agoMillis " + agoMillis);
      }
    }
  }

  /**
   * A question to the handler of a kind.
   *
   * @param id unique within the sender's process
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @JsonIgnoreProperties(ignoreUnknown = true)
  record Question(long id, String kind, byte[] body) implements PeerMessage {
    public Question {
      Objects.requireNonNull(kind, "kind");
      Objects.requireNonNull(body, "body");
    }
  }

  /**
   * The answer to a question.
   *
   * @param id the question's
   * @param body null if there is an error
   * @param error why there is no answer; null if there is one
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @JsonIgnoreProperties(ignoreUnknown = true)
  record Answer(long id, byte[] body, String error) implements PeerMessage {
    public Answer {
      if ((body == null) == (error == null)) {
        throw new IllegalArgumentException("an answer has either a body or an error");
      }
    }
  }
}
