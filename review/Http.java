package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** Small helpers for the HTTP servers of the stand-ins. */
final class Http {
  static final ObjectMapper MAPPER = new ObjectMapper();

  private Http() {}

  static HttpServer server() throws IOException {
    InetAddress loopback = InetAddress.getByName("127.0.0.1");
    HttpServer server = HttpServer.create(new InetSocketAddress(loopback, 0), 200);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "stand-in");
              thread.setDaemon(true);
              return thread;
            }));
    return server;
  }

  static String address(HttpServer server) {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    String query = exchange.getRequestURI().getRawQuery();
    if (query != null) {
      for (String part : query.split("&")) {
        int equals = part.indexOf('=');
        values.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  static JsonNode body(HttpExchange exchange) throws IOException {
    return MAPPER.readTree(exchange.getRequestBody().readAllBytes());
  }

  static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
    exchange.close();
  }

  static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
    answer(exchange, status, MAPPER.writeValueAsBytes(body));
  }
}
