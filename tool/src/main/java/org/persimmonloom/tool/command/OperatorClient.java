package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import io.vavr.control.Either;
import java.io.IOException;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/** The options that name an entry host, and the calls of its operators' interface. */
public final class OperatorClient {
  private static final String DEFAULT_ENTRY = "127.0.0.1:7080";

  @Parameter(
      names = "--entry",
      description =
          "ip:port of the operators' listener of any entry host; 127.0.0.1:7080 if not given")
  private String entry;

  @Parameter(names = "--token", description = "operator token; PERSIMMONLOOM_TOKEN if not given")
  private String token = System.getenv().getOrDefault("PERSIMMONLOOM_TOKEN", "");

  private final OkHttpClient client = new OkHttpClient();

  /** Creates a client whose options are parsed. */
  public OperatorClient() {}

  /** Creates a client of one entry host. */
  public OperatorClient(String entry, String token) {
    this.entry = entry;
    this.token = token;
  }

  /** Returns the JSON answer of {@code GET path}. */
  public Either<Failure, String> get(String path) {
    return call(request(path).build());
  }

  /** Returns the JSON answer of {@code POST path}. */
  public Either<Failure, String> post(String path, String body) {
    MediaType text = MediaType.get("text/plain; charset=utf-8");
    return call(request(path).post(RequestBody.create(body, text)).build());
  }

  /** Returns whether the command names an entry host. */
  public boolean isEntryGiven() {
    return entry != null;
  }

  /** Returns the address of the entry host. */
  public String address() {
    return entry == null ? DEFAULT_ENTRY : entry;
  }

  private Request.Builder request(String path) {
    return new Request.Builder()
        .url(HttpUrl.get("http://" + address() + path))
        .header("Authorization", "Bearer " + token);
  }

  private Either<Failure, String> call(Request request) {
    try (Response response = client.newCall(request).execute()) {
      String text = response.body().string().strip();
      if (response.isSuccessful()) {
        return Either.right(text);
      }
      return Either.left(
          ProposalTypes.CODEC
              .fromJson(text, Failure.class)
              .getOrElse(Failure.of(ResultCode.INTERNAL, "status " + response.code())));
    } catch (IOException e) {
      return Either.left(Failure.of(ResultCode.PEER_UNAVAILABLE, address(), e.getMessage()));
    }
  }
}
