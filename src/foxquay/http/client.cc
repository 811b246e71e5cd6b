#include "foxquay/http/client.h"

#include <ulfius.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string_view>

#include "foxquay/http/endpoint.h"

namespace foxquay::http {
namespace internal {

using Json = nlohmann::json;

constexpr std::size_t kMaxLineBytes = 1048576;
constexpr std::size_t kMaxReplyBytes = 16777216;
constexpr std::chrono::seconds kCancelTimeout{2};

/// Owns an ulfius request.
class Request {
 public:
  Request(const std::string& method, const std::string& url,
          core::Duration timeout) {
    ulfius_init_request(&request_);
    // ulfius takes timeouts in whole seconds. The empty proxy makes it ignore
    // proxy settings in the environment.
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(timeout).count();
    ulfius_set_request_properties(&request_, U_OPT_HTTP_VERB, method.c_str(),
                                  U_OPT_HTTP_URL, url.c_str(), U_OPT_HTTP_PROXY,
                                  "", U_OPT_TIMEOUT,
                                  static_cast<decltype(_u_request::timeout)>(
                                      std::max<std::int64_t>(seconds, 1)),
                                  U_OPT_NONE);
  }
  ~Request() { ulfius_clean_request(&request_); }
  Request(const Request&) = delete;
  Request& operator=(const Request&) = delete;

  void SetBody(const std::string& body) {
    ulfius_set_binary_body_request(&request_, body.data(), body.size());
  }

  void AddHeader(const std::string& name, const std::string& value) {
    u_map_put(request_.map_header, name.c_str(), value.c_str());
  }

  [[nodiscard]] const _u_request* get() const noexcept { return &request_; }

 private:
  _u_request request_{};
};

/// Owns an ulfius response.
class Response {
 public:
  Response() { ulfius_init_response(&response_); }
  ~Response() { ulfius_clean_response(&response_); }
  Response(const Response&) = delete;
  Response& operator=(const Response&) = delete;

  [[nodiscard]] _u_response* get() noexcept { return &response_; }

 private:
  _u_response response_{};
};

/// Splits the response of a leg into lines and passes on its tokens.
class LegReader {
 public:
  explicit LegReader(const std::function<bool(TokenLine&&)>& on_token)
      : on_token_(on_token) {}

  static std::size_t Write(void* data, std::size_t size, std::size_t count,
                           void* self) {
    const std::string_view bytes(static_cast<const char*>(data), size * count);
    return static_cast<LegReader*>(self)->Append(bytes) ? bytes.size() : 0;
  }

  [[nodiscard]] const std::optional<LegResult>& result() const noexcept {
    return result_;
  }

 private:
  bool Append(std::string_view bytes) {
    buffer_.append(bytes);
    const std::string_view received = buffer_;
    std::size_t begin = 0;
    for (std::size_t end = received.find('\n'); end != std::string::npos;
         end = received.find('\n', begin)) {
      if (!ReadLine(received.substr(begin, end - begin))) {
        return false;
      }
      begin = end + 1;
    }
    buffer_.erase(0, begin);
    return buffer_.size() <= kMaxLineBytes;
  }

  bool ReadLine(std::string_view line) {
    if (line.empty()) return true;
    const Json json = Json::parse(line, nullptr, /*allow_exceptions=*/false);
    if (!json.is_object()) return false;
    if (json.contains("end")) return ReadEnd(json);
    TokenLine token;
    if (!ReadNumber(json, "epoch", token.epoch) ||
        !ReadNumber(json, "index", token.index) || !json.contains("text") ||
        !json["text"].is_string()) {
      return false;
    }
    token.text = json["text"].get<std::string>();
    return on_token_(std::move(token));
  }

  template <class Number>
  static bool ReadNumber(const Json& json, const char* key, Number& value) {
    const auto found = json.find(key);
    if (found == json.end() || !found->is_number_unsigned()) return false;
    value = found->get<Number>();
    return true;
  }

  bool ReadEnd(const Json& json) {
    static constexpr std::array<std::pair<std::string_view, dispatch::LegEnd>,
                                3>
        kEnds = {{{"stop", dispatch::LegEnd::kStop},
                  {"length", dispatch::LegEnd::kLength},
                  {"chunk", dispatch::LegEnd::kChunk}}};
    LegResult result;
    for (const auto& [name, end] : kEnds) {
      if (json["end"] == name) result.end = end;
    }
    if (json.contains("culprit") && json["culprit"].is_string()) {
      result.culprit = core::UpstreamId(json["culprit"].get<std::string>());
    }
    result_ = std::move(result);
    return true;
  }

  const std::function<bool(TokenLine&&)>& on_token_;
  std::string buffer_;
  std::optional<LegResult> result_;
};

std::size_t WriteBytes(void* data, std::size_t size, std::size_t count,
                       void* on_bytes) {
  const std::string_view bytes(static_cast<const char*>(data), size * count);
  const auto& consumer =
      *static_cast<const std::function<bool(std::string_view)>*>(on_bytes);
  return consumer(bytes) ? bytes.size() : 0;
}

std::string LegBody(const dispatch::StartLeg& leg, const std::string& name) {
  Json chain = Json::array();
  for (const dispatch::Stage& stage : leg.chain) {
    chain.push_back({{"id", stage.upstream.value()},
                     {"address", stage.address},
                     {"first", stage.layers.first},
                     {"last", stage.layers.last}});
  }
  const auto deadline =
      std::chrono::duration_cast<std::chrono::milliseconds>(leg.time_left);
  const Json body = {{"request", name},
                     {"epoch", leg.epoch},
                     {"first_token", leg.first_token},
                     {"count", leg.count},
                     {"prompt", leg.prompt},
                     {"delivered", leg.delivered},
                     {"chain", std::move(chain)},
                     {"priority", core::Name(leg.priority)},
                     {"deadline_ms", deadline.count()},
                     {"adapter", leg.adapter},
                     {"version", leg.version}};
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Returns whether a status means that the upstream refused a leg before
/// executing any of it.
bool IsRefusal(std::int64_t status) {
  return (status >= 400 && status < 500) || status == 503;
}

}  // namespace internal

LegResult RunLeg(const dispatch::StartLeg& leg, const std::string& name,
                 const std::function<bool(TokenLine&&)>& on_token) {
  const dispatch::Stage& head = leg.chain.front();
  internal::Request request("POST", "http://" + head.address + "/v1/legs",
                            leg.time_left);
  request.AddHeader("Content-Type", "application/json");
  request.SetBody(internal::LegBody(leg, name));
  internal::Response response;
  internal::LegReader reader(on_token);
  const int code = ulfius_send_http_streaming_request(
      request.get(), response.get(), internal::LegReader::Write, &reader);
  if (reader.result()) return *reader.result();
  LegResult result;
  if (code == U_OK && internal::IsRefusal(response.get()->status)) {
    result.end = dispatch::LegEnd::kRefused;
  }
  result.culprit = head.upstream;
  return result;
}

void CancelLeg(const std::string& address, const std::string& name,
               std::uint64_t epoch) {
  const internal::Request request("DELETE",
                                  "http://" + address + "/v1/legs/" + name +
                                      "?epoch=" + std::to_string(epoch),
                                  internal::kCancelTimeout);
  internal::Response response;
  ulfius_send_http_request(request.get(), response.get());
}

ServiceResult CallService(const ServiceSend& call) {
  std::string body;
  ServiceResult result = CallStreaming(call, [&body](std::string_view bytes) {
    if (body.size() + bytes.size() > internal::kMaxReplyBytes) return false;
    body.append(bytes);
    return true;
  });
  if (result.reply) result.reply->body = std::move(body);
  return result;
}

ServiceResult CallStreaming(
    const ServiceSend& call,
    const std::function<bool(std::string_view)>& on_bytes) {
  ServiceResult result;
  // ulfius does not distinguish a refused connection from a lost response.
  // Only a failure of this separate attempt proves that nothing was sent.
  if (!Reachable(call.address)) return result;
  result.sent = true;
  // With HEAD, ulfius waits for a body of the announced length, which never
  // comes. The response to GET has the same headers.
  internal::Request request(call.method == "HEAD" ? "GET" : call.method,
                            "http://" + call.address + call.path,
                            call.time_left);
  for (const auto& [name, value] : call.headers) {
    request.AddHeader(name, value);
  }
  if (!call.body.empty()) request.SetBody(call.body);
  internal::Response response;
  std::function<bool(std::string_view)> consumer = on_bytes;
  const int code = ulfius_send_http_streaming_request(
      request.get(), response.get(), internal::WriteBytes, &consumer);
  if (code != U_OK) return result;
  ServiceReply reply;
  reply.status = static_cast<std::uint32_t>(response.get()->status);
  const _u_map& map = *response.get()->map_header;
  for (int index = 0; index < map.nb_values; ++index) {
    reply.headers.emplace_back(map.keys[index], map.values[index]);
  }
  result.reply = std::move(reply);
  return result;
}

}  // namespace foxquay::http
