package org.persimmonloom.core.wire;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * Encodes records as MessagePack for frames and log records, and as JSON for reports.
 *
 * <p>Equal values encode to equal bytes: record components keep their order and map entries are
 * sorted by key. Decoding never throws; any malformed input becomes {@link
 * ResultCode#DECODE_FAILED}. Immutable after construction and safe for any thread.
 */
public final class Codec {
  private final ObjectMapper packed;
  private final ObjectMapper json;

  /**
   * Creates a codec with the given registered subtypes.
   *
   * @param subtypes record types by their type name on the wire
   */
  public Codec(Map<String, ? extends Class<?>> subtypes) {
    packed = configure(new ObjectMapper(new MessagePackFactory()), subtypes);
    json = configure(new ObjectMapper(), subtypes);
    json.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
  }

  private static ObjectMapper configure(
      ObjectMapper mapper, Map<String, ? extends Class<?>> subtypes) {
    subtypes.forEach((name, type) -> mapper.registerSubtypes(new NamedType(type, name)));
    mapper.setVisibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE);
    mapper.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);
    mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    mapper.setSerializationInclusion(JsonInclude.Include.NON_NULL);
    return mapper;
  }

  /** Returns the MessagePack bytes of {@code value}. */
  public byte[] encode(Object value) {
    try {
      return packed.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("cannot encode " + value.getClass(), e);
    }
  }

  /** Returns the value decoded from {@code bytes}, or {@link ResultCode#DECODE_FAILED}. */
  public <T> Either<Failure, T> decode(byte[] bytes, Class<T> type) {
    try {
      checkLengths(bytes);
      T value = packed.readValue(bytes, type);
      if (value == null) {
        return Either.left(Failure.of(ResultCode.DECODE_FAILED, "null " + type.getSimpleName()));
      }
      return Either.right(value);
    } catch (IOException | RuntimeException e) {
      return Either.left(Failure.of(ResultCode.DECODE_FAILED, firstLine(e)));
    }
  }

  /** Returns {@code value} as one line of JSON. */
  public String toJson(Object value) {
    try {
      return json.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("cannot encode " + value.getClass(), e);
    }
  }

  /** Returns the value decoded from the JSON text, or {@link ResultCode#DECODE_FAILED}. */
  public <T> Either<Failure, T> fromJson(String text, Class<T> type) {
    try {
      T value = json.readValue(text, type);
      if (value == null) {
        return Either.left(Failure.of(ResultCode.DECODE_FAILED, "null " + type.getSimpleName()));
      }
      return Either.right(value);
    } catch (IOException | RuntimeException e) {
      return Either.left(Failure.of(ResultCode.DECODE_FAILED, firstLine(e)));
    }
  }

  /**
   * Checks the lengths declared in the input without allocating. The decoder would allocate a
   * declared length before it detects that the bytes are missing.
   */
  private static void checkLengths(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      unpacker.skipValue();
      if (unpacker.getTotalReadBytes() != bytes.length) {
        throw new IOException("trailing bytes");
      }
    }
  }

  private static String firstLine(Exception e) {
    String message = String.valueOf(e.getMessage());
    int end = message.indexOf('\n');
    return e.getClass().getSimpleName() + ": " + (end < 0 ? message : message.substring(0, end));
  }
}
