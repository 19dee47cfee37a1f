package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's metadata store: topics of one partition, with conditional appends, producers with
 * epochs, reads that wait, and the newest record of each key. Nothing expires in the time of a
 * script. An append takes 3 ms.
 */
final class Store {
  private static final int PAGE = 500;
  private static final int APPEND_MILLIS = 3;

  /** The settings {@code record_bytes} and {@code call_bytes} of both deployments. */
  private static final int RECORD_BYTES = 262_144;

  private static final int CALL_BYTES = 2_097_152;
  private final HttpServer server;
  private final Map<String, Topic> topics = new HashMap<>();
  private volatile boolean isDown;

  /** A record of a keyed topic and its offset. */
  record Stored(byte[] value, long offset) {}

  private static final class Producer {
    long epoch;
    long sequence;
    final Deque<Map.Entry<Long, byte[]>> answers = new ArrayDeque<>();
  }

  private static final class Topic {
    final List<byte[]> records = new ArrayList<>();
    final TreeMap<String, Stored> newest = new TreeMap<>();
    final Map<String, Producer> producers = new HashMap<>();
  }

  Store() throws IOException {
    server = Http.server();
    server.createContext("/persimmonloom/log-append", unlessDown(this::append));
    server.createContext("/persimmonloom/log-read", unlessDown(this::read));
    server.createContext("/persimmonloom/log-newest", unlessDown(this::newest));
    server.start();
  }

  String address() {
    return Http.address(server);
  }

  /** Closes the connection of each call while the store is down; nothing is done then. */
  private HttpHandler unlessDown(HttpHandler handler) {
    return exchange -> {
      if (isDown) {
        exchange.getRequestBody().readAllBytes();
        exchange.close();
      } else {
        handler.handle(exchange);
      }
    };
  }

  void setDown(boolean down) {
    isDown = down;
  }

  boolean isDown() {
    return isDown;
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, key -> new Topic());
  }

  /** Writes a record on behalf of the operator or a worker; a null value removes the key. */
  synchronized void put(String topic, String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + name.length + (value == null ? 0 : value.length));
    record.put((byte) name.length).put(name);
    if (value != null) {
      record.put(value);
    }
    add(topic(topic), record.array());
    notifyAll();
  }

  /** Returns the newest value of a key; null if there is none. */
  synchronized byte[] value(String topic, String key) {
    Stored stored = topic(topic).newest.get(key);
    return stored == null ? null : stored.value();
  }

  private static void add(Topic topic, byte[] record) {
    long offset = topic.records.size();
    topic.records.add(record);
    int keyLength = record[0] & 0xff;
    String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
    if (record.length == 1 + keyLength) {
      topic.newest.remove(key);
    } else {
      byte[] value = new byte[record.length - 1 - keyLength];
      System.arraycopy(record, 1 + keyLength, value, 0, value.length);
      topic.newest.put(key, new Stored(value, offset));
    }
  }

  private void append(HttpExchange exchange) throws IOException {
    Map<String, String> query = Http.query(exchange);
    ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
    pause();
    String name = query.get("topic");
    if (name.equals("keyed.op") || name.equals("keyed.servers")) {
      Http.answer(exchange, 403, new byte[0]);
      return;
    }
    if (!isWithinLimits(body.duplicate())) {
      Http.answer(exchange, 413, new byte[0]);
      return;
    }
    int status;
    byte[] answer;
    synchronized (this) {
      Topic topic = topic(name);
      ObjectNode refusal = Http.MAPPER.createObjectNode();
      long end = topic.records.size();
      Producer producer = null;
      long sequence = 0;
      byte[] repeated = null;
      status = 200;
      if (query.containsKey("producer")) {
        producer = topic.producers.get(query.get("producer"));
        long epoch = Long.parseLong(query.get("epoch"));
        sequence = Long.parseLong(query.getOrDefault("seq", "0"));
        if (producer == null || epoch > producer.epoch) {
          producer = new Producer();
          producer.epoch = epoch;
          producer.sequence = sequence - 1;
          topic.producers.put(query.get("producer"), producer);
        }
        if (epoch < producer.epoch) {
          status = 409;
          refusal.put("reason", "fenced");
        } else if (sequence != producer.sequence + 1) {
          for (Map.Entry<Long, byte[]> earlier : producer.answers) {
            repeated = earlier.getKey() == sequence ? earlier.getValue() : repeated;
          }
          if (repeated == null) {
            status = 409;
            refusal.put("reason", "seq").put("expected", producer.sequence + 1);
          }
        }
      }
      if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
        status = 412;
        refusal.put("end", end);
      }
      if (status != 200) {
        answer = Http.MAPPER.writeValueAsBytes(refusal);
      } else if (repeated != null) {
        answer = repeated;
      } else {
        while (body.remaining() > 4) {
          byte[] record = new byte[body.getInt()];
          body.get(record);
          add(topic, record);
        }
        ObjectNode written = Http.MAPPER.createObjectNode();
        written.put("offset", end).put("end", topic.records.size());
        answer = Http.MAPPER.writeValueAsBytes(written);
        if (producer != null) {
          producer.sequence = sequence;
          producer.answers.add(Map.entry(sequence, answer));
          if (producer.answers.size() > 5) {
            producer.answers.remove();
          }
        }
        notifyAll();
      }
    }
    Http.answer(exchange, status, answer);
  }

  /** A call appends at most {@link #CALL_BYTES}, in records of at most {@link #RECORD_BYTES}. */
  private static boolean isWithinLimits(ByteBuffer body) {
    int total = 0;
    while (body.remaining() > 4) {
      int length = body.getInt();
      if (length < 1 || length > RECORD_BYTES || length > body.remaining()) {
        return false;
      }
      total += length;
      body.position(body.position() + length);
    }
    return total <= CALL_BYTES;
  }

  private static void pause() {
    try {
      Thread.sleep(APPEND_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void read(HttpExchange exchange) throws IOException {
    Map<String, String> query = Http.query(exchange);
    exchange.getRequestBody().readAllBytes();
    long from = Long.parseLong(query.get("from"));
    long maxBytes = Long.parseLong(query.getOrDefault("max_kb", "1024")) * 1024;
    long until = Recorder.nowMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      long left = until - Recorder.nowMillis();
      while (topic.records.size() <= from && left > 0) {
        try {
          wait(left);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          break;
        }
        left = until - Recorder.nowMillis();
      }
      out.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
      for (int i = (int) from; i < topic.records.size() && out.size() < maxBytes; i++) {
        byte[] record = topic.records.get(i);
        out.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
        out.writeBytes(record);
      }
    }
    Http.answer(exchange, 200, out.toByteArray());
  }

  private void newest(HttpExchange exchange) throws IOException {
    Map<String, String> query = Http.query(exchange);
    ObjectNode page = Http.MAPPER.createObjectNode();
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      Map<String, Stored> rest = topic.newest.tailMap(query.getOrDefault("after", ""), false);
      ArrayNode items = page.putArray("items");
      for (Map.Entry<String, Stored> entry : rest.entrySet()) {
        if (items.size() == PAGE) {
          break;
        }
        items
            .addObject()
            .put("key", entry.getKey())
            .put("value", Base64.getEncoder().encodeToString(entry.getValue().value()))
            .put("offset", entry.getValue().offset());
      }
      page.put("more", rest.size() > items.size()).put("end", topic.records.size());
    }
    Http.answer(exchange, 200, page);
  }
}
