#include <algorithm>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "foxquay/http/caller.h"

namespace foxquay::http {
namespace internal {

using Json = nlohmann::json;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxKeyBytes = 128;
constexpr std::int64_t kMaxTimeoutMs = 3600000;
constexpr std::string_view kServicePrefix = "/v1/services/";

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
         });
}

bool IsVisible(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

std::optional<std::int64_t> ToNumber(const std::string& text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) return std::nullopt;
  return value;
}

/// Parses the headers that completions and service calls share.
class HeaderReader {
 public:
  HeaderReader(const Incoming& incoming, dispatch::Submission& submission)
      : incoming_(incoming), submission_(submission) {}

  std::optional<Problem> Read() {
    if (incoming_.too_large) {
      return Problem{413, "body", "exceeds the size limit of this host"};
    }
    if (auto problem = ReadWorkspace()) return problem;
    if (auto problem = ReadClass()) return problem;
    if (auto problem = ReadTimeout()) return problem;
    if (auto problem = ReadNoRepeat()) return problem;
    return ReadKey();
  }

 private:
  std::optional<Problem> ReadWorkspace() {
    const std::string name = "X-Foxquay-Workspace";
    const auto value = incoming_.Header(name);
    if (!value) return Problem{400, name, "required"};
    if (!IsName(*value)) {
      return Problem{400, name,
                     "expected 1 to 64 letters, digits, dots, dashes or "
                     "underscores"};
    }
    submission_.workspace = core::WorkspaceId(*value);
    return std::nullopt;
  }

  std::optional<Problem> ReadClass() {
    const std::string name = "X-Foxquay-Class";
    const auto value = incoming_.Header(name);
    if (!value) return std::nullopt;
    const auto parsed = core::ParseTrafficClass(*value);
    if (!parsed) return Problem{400, name, "expected interactive or batch"};
    submission_.traffic_class = *parsed;
    return std::nullopt;
  }

  std::optional<Problem> ReadTimeout() {
    const std::string name = "X-Foxquay-Timeout";
    const auto value = incoming_.Header(name);
    if (!value) return std::nullopt;
    const auto number = ToNumber(*value);
    if (!number || *number <= 0 || *number > kMaxTimeoutMs) {
      return Problem{400, name, "expected milliseconds from 1 to 3600000"};
    }
    submission_.timeout = std::chrono::milliseconds(*number);
    return std::nullopt;
  }

  std::optional<Problem> ReadNoRepeat() {
    const std::string name = "X-Foxquay-No-Repeat";
    const auto value = incoming_.Header(name);
    if (!value || *value == "false") return std::nullopt;
    if (*value != "true") return Problem{400, name, "expected true or false"};
    submission_.no_repeat = true;
    return std::nullopt;
  }

  std::optional<Problem> ReadKey() {
    const std::string name = "Idempotency-Key";
    const auto value = incoming_.Header(name);
    if (!value) return std::nullopt;
    if (value->empty() || value->size() > kMaxKeyBytes || !IsVisible(*value)) {
      return Problem{400, name, "expected 1 to 128 visible ASCII characters"};
    }
    const std::size_t dot = value->find('.');
    const bool well_formed = dot != std::string::npos && dot > 0 &&
                             dot + 1 < value->size() &&
                             ToNumber(value->substr(0, dot)).value_or(-1) >= 0;
    if (submission_.no_repeat && !well_formed) {
      return Problem{400, name,
                     "expected <expiry in unix seconds>.<unique part> on a "
                     "request that must not be repeated"};
    }
    submission_.idempotency_key = *value;
    return std::nullopt;
  }

  const Incoming& incoming_;
  dispatch::Submission& submission_;
};

/// Parses the JSON body of a completion.
class BodyReader {
 public:
  BodyReader(const Json& body, const RequestLimits& limits)
      : body_(body), limits_(limits) {}

  std::optional<Problem> Read(CompletionRequest& request) {
    dispatch::Completion completion;
    std::string model;
    if (auto problem = ReadString("model", true, model)) return problem;
    if (model.empty() || model.size() > kMaxKeyBytes) {
      return Problem{400, "model", "expected 1 to 128 characters"};
    }
    completion.model = core::ModelId(std::move(model));
    if (auto problem = ReadString("prompt", true, completion.prompt)) {
      return problem;
    }
    if (auto problem = ReadString("adapter", false, completion.adapter)) {
      return problem;
    }
    if (auto problem = ReadString("version", false, completion.version)) {
      return problem;
    }
    if (auto problem = ReadMaxTokens(completion.max_tokens)) return problem;
    if (body_.contains("stream")) {
      if (!body_["stream"].is_boolean()) {
        return Problem{400, "stream", "expected true or false"};
      }
      request.stream = body_["stream"].get<bool>();
    }
    request.submission.work = std::move(completion);
    return std::nullopt;
  }

 private:
  std::optional<Problem> ReadString(const std::string& key, bool required,
                                    std::string& value) {
    const auto found = body_.find(key);
    if (found == body_.end()) {
      if (required) return Problem{400, key, "required"};
      return std::nullopt;
    }
    if (!found->is_string()) return Problem{400, key, "expected a string"};
    value = found->get<std::string>();
    return std::nullopt;
  }

  std::optional<Problem> ReadMaxTokens(std::uint32_t& value) {
    const std::string key = "max_tokens";
    value = limits_.max_tokens;
    const auto found = body_.find(key);
    if (found == body_.end()) return std::nullopt;
    const std::string expected = "expected a whole number from 1 to " +
                                 std::to_string(limits_.max_tokens);
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0 ||
        found->get<std::uint64_t>() > limits_.max_tokens) {
      return Problem{400, key, expected};
    }
    value = found->get<std::uint32_t>();
    return std::nullopt;
  }

  const Json& body_;
  const RequestLimits& limits_;
};

}  // namespace internal

std::variant<CompletionRequest, Problem> ReadCompletion(
    const Incoming& incoming, const RequestLimits& limits) {
  CompletionRequest request;
  if (auto problem =
          internal::HeaderReader(incoming, request.submission).Read()) {
    return std::move(*problem);
  }
  const internal::Json body = internal::Json::parse(incoming.body, nullptr,
                                                    /*allow_exceptions=*/false);
  if (!body.is_object()) {
    return Problem{400, "body", "expected a JSON object"};
  }
  if (auto problem = internal::BodyReader(body, limits).Read(request)) {
    return std::move(*problem);
  }
  return request;
}

std::variant<ServiceRequest, Problem> ReadServiceCall(
    const Incoming& incoming) {
  ServiceRequest request;
  if (auto problem =
          internal::HeaderReader(incoming, request.submission).Read()) {
    return std::move(*problem);
  }
  const std::string rest = incoming.url.substr(
      std::min(internal::kServicePrefix.size(), incoming.url.size()));
  const std::size_t end = rest.find_first_of("/?");
  const std::string service = rest.substr(0, end);
  if (!internal::IsName(service)) {
    return Problem{400, "path", "expected /v1/services/{service}/{path}"};
  }
  request.path = end == std::string::npos ? "/" : rest.substr(end);
  if (request.path.front() == '?') request.path.insert(0, "/");
  dispatch::ServiceCall call;
  call.service = core::ServiceId(service);
  call.body_bytes = static_cast<std::uint32_t>(incoming.body.size());
  request.submission.work = std::move(call);
  return request;
}

}  // namespace foxquay::http
