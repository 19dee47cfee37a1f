package org.persimmonloom.tool.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/** Builds the path and query of a call to the operators' interface. */
final class OperatorQuery {
  private final StringBuilder text;
  private char separator = '?';

  OperatorQuery(String path) {
    text = new StringBuilder(path);
  }

  OperatorQuery with(String name, Object value) {
    if (value != null && !value.toString().isEmpty()) {
      text.append(separator).append(name).append('=');
      text.append(URLEncoder.encode(value.toString(), StandardCharsets.UTF_8));
      separator = '&';
    }
    return this;
  }

  OperatorQuery withAll(String name, Collection<String> values) {
    return with(name, String.join(",", values));
  }

  @Override
  public String toString() {
    return text.toString();
  }
}
