#include "foxquay/http/client.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string_view>

#include "foxquay/http/endpoint.h"
#include "foxquay/http/transfer.h"

namespace foxquay::http {
namespace internal {

using Json = nlohmann::json;

constexpr std::size_t kMaxLineBytes = 1048576;
constexpr std::size_t kMaxReplyBytes = 16777216;
constexpr std::chrono::seconds kCancelTimeout{2};
/// Header in which an upstream states that it executed nothing of a leg.
constexpr const char* kOutcomeHeader = "X-Foxquay-Outcome";

/// Splits the response of a leg into lines and passes on its tokens.
class LegReader {
 public:
  explicit LegReader(const std::function<bool(TokenLine&&)>& on_token)
      : on_token_(on_token) {}

  /// Returns false if the bytes are malformed or no more are wanted.
  [[nodiscard]] bool Append(std::string_view bytes) {
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

  [[nodiscard]] const std::optional<LegResult>& result() const noexcept {
    return result_;
  }

 private:
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

/// Returns whether the upstream states that it refused a leg before executing
/// any of it. The status alone does not: an upstream may fail with any.
bool IsRefusal(const TransferHead& head) {
  return head.status >= 400 &&
         std::any_of(
             head.headers.begin(), head.headers.end(), [](const auto& header) {
               return boost::beast::iequals(header.first, kOutcomeHeader) &&
                      header.second == "not-run";
             });
}

}  // namespace internal

LegResult RunLeg(const dispatch::StartLeg& leg, const std::string& name,
                 const std::function<bool(TokenLine&&)>& on_token) {
  const dispatch::Stage& head = leg.chain.front();
  TransferRequest request;
  request.method = "POST";
  request.url = "http://" + head.address + "/v1/legs";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = internal::LegBody(leg, name);
  request.timeout = leg.time_left;
  internal::LegReader reader(on_token);
  const std::optional<TransferHead> response = Transfer(
      request,
      [&reader](std::string_view bytes) { return reader.Append(bytes); });
  if (reader.result()) return *reader.result();
  LegResult result;
  if (response && internal::IsRefusal(*response)) {
    result.end = dispatch::LegEnd::kRefused;
  }
  result.culprit = head.upstream;
  return result;
}

void CancelLeg(const std::string& address, const std::string& name,
               std::uint64_t epoch) {
  TransferRequest request;
  request.method = "DELETE";
  request.url = "http://" + address + "/v1/legs/" + name +
                "?epoch=" + std::to_string(epoch);
  request.timeout = internal::kCancelTimeout;
  (void)Transfer(request, [](std::string_view) { return true; });
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
  // The client does not distinguish a refused connection from a lost response.
  // Only a failure of this separate attempt proves that nothing was sent.
  if (!Reachable(call.address)) return result;
  result.sent = true;
  TransferRequest request;
  // With HEAD, the client waits for a body of the announced length, which never
  // comes. The response to GET has the same headers.
  request.method = call.method == "HEAD" ? "GET" : call.method;
  request.url = "http://" + call.address + call.path;
  request.headers = call.headers;
  request.body = call.body;
  request.timeout = call.time_left;
  std::optional<TransferHead> head = Transfer(request, on_bytes);
  if (!head) return result;
  result.reply = ServiceReply{head->status, std::move(head->headers), {}};
  return result;
}

}  // namespace foxquay::http
