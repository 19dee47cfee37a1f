package org.persimmonloom.runtime;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.persimmonloom.core.fold.Proposal;

/**
 * Lists the fields that the codec writes for a record, nested records included, under their encoded
 * names. The list is independent of class names, which are not encoded. Stateless.
 */
public final class EncodedFields {
  private EncodedFields() {}

  /**
   * Returns one line for each field of {@code type}: its path and the form of its value.
   *
   * @param name first element of the paths
   */
  public static List<String> of(String name, Class<?> type) {
    List<String> lines = new ArrayList<>();
    describe(name, type, lines);
    return lines;
  }

  /** Returns the lines of {@code encoded/FILE} among the test resources. */
  public static List<String> recorded(String file) {
    try (var in = EncodedFields.class.getResourceAsStream("/encoded/" + file)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void describe(String path, Type type, List<String> lines) {
    if (type instanceof ParameterizedType generic) {
      Type[] arguments = generic.getActualTypeArguments();
      if (Map.class.isAssignableFrom((Class<?>) generic.getRawType())) {
        lines.add(path + " map");
        describe(path + ".keys", arguments[0], lines);
        describe(path + ".values", arguments[1], lines);
      } else {
        describe(path + "[]", arguments[0], lines);
      }
      return;
    }
    Class<?> value = (Class<?>) type;
    if (value.isRecord()) {
      lines.add(path + " record");
      for (RecordComponent component : value.getRecordComponents()) {
        describe(path + "." + encodedName(component), component.getGenericType(), lines);
      }
    } else if (value.isEnum()) {
      lines.add(path + " " + constants(value));
    } else {
      lines.add(path + " " + (value == Proposal.class ? "proposal" : value.getSimpleName()));
    }
  }

  private static String encodedName(RecordComponent component) {
    JsonProperty property = component.getAccessor().getAnnotation(JsonProperty.class);
    return property == null ? component.getName() : property.value();
  }

  private static String constants(Class<?> type) {
    return Arrays.stream(type.getEnumConstants())
        .map(it -> encodedName((Enum<?>) it))
        .collect(Collectors.joining("|"));
  }

  private static String encodedName(Enum<?> constant) {
    try {
      JsonProperty property =
          constant.getDeclaringClass().getField(constant.name()).getAnnotation(JsonProperty.class);
      return property == null ? constant.name() : property.value();
    } catch (NoSuchFieldException e) {
      throw new AssertionError(e);
    }
  }
}
