#include "foxquay_cli/send.h"

#include <array>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "foxquay/http/client.h"
#include "foxquay_cli/arguments.h"

namespace foxquay::cli {
namespace internal {

using Json = nlohmann::json;

constexpr int kExitNoOutcome = 70;  // EX_SOFTWARE of sysexits.h
constexpr std::chrono::seconds kEntryTimeout{3};

/// Time beyond the deadline of the request to wait for the answer.
constexpr std::chrono::seconds kResponseMargin{5};

struct Options {
  std::vector<std::string> entry;
  std::string data_centre;
  std::string workspace;
  std::string traffic_class;
  std::string key;
  std::string model;
  std::string prompt;
  std::string service;
  std::string path = "/";
  std::string method = "POST";
  std::string body;
  std::string output = "text";
  int max_tokens = 0;
  int timeout_ms = 60000;
  bool stream = false;
  bool no_repeat = false;
};

/// Answer and outcome of a request.
struct Answer {
  std::uint32_t status = 0;
  std::string outcome;
  std::string text;
  std::string error;
};

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) parts.push_back(part);
  return parts;
}

std::optional<Options> Parse(int argc, const char** argv) {
  Options options;
  std::string entry;
  Arguments arguments("");
  arguments.AddText("entry", entry,
                    "Caller addresses of hosts, separated by commas");
  arguments.AddText("data-centre", options.data_centre,
                    "Data centre of the caller");
  arguments.AddText("workspace", options.workspace, "Workspace");
  arguments.AddText("class", options.traffic_class, "interactive or batch");
  arguments.AddText("key", options.key,
                    "Idempotency key: <expiry, unix seconds>.<unique>");
  arguments.AddText("model", options.model, "Model of a completion");
  arguments.AddText("prompt", options.prompt, "Prompt of a completion");
  arguments.AddText("service", options.service, "Service of a call");
  arguments.AddText("path", options.path, "Path of a call");
  arguments.AddText("method", options.method, "Method of a call");
  arguments.AddText("body", options.body, "Body of a call");
  arguments.AddText("output", options.output, "text or json");
  arguments.AddNumber("max-tokens", options.max_tokens,
                      "Maximum number of tokens");
  arguments.AddNumber("timeout", options.timeout_ms, "Deadline in ms");
  arguments.AddFlag("stream", options.stream, "Print tokens as they arrive");
  arguments.AddFlag("no-repeat", options.no_repeat, "Run at most once");
  if (!arguments.Parse(argc, argv)) return std::nullopt;
  options.entry = Split(entry);
  return options;
}

/// Returns an error message if an option is missing or invalid, else an empty
/// string.
std::string Validate(const Options& options) {
  if (options.entry.empty()) return "--entry IP:PORT is required";
  if (options.workspace.empty()) return "--workspace is required";
  if (options.model.empty() == options.service.empty()) {
    return "give either --model or --service";
  }
  if (options.output != "text" && options.output != "json") {
    return "--output must be text or json";
  }
  return "";
}

/// Asks the entry addresses in turn and returns the host addresses of the first
/// that answers with any.
std::vector<std::string> FetchAddresses(const Options& options) {
  std::vector<std::string> addresses;
  for (const std::string& entry : options.entry) {
    http::ServiceSend call;
    call.method = "GET";
    call.address = entry;
    call.path = "/v1/entry";
    if (!options.data_centre.empty()) {
      call.path += "?data_centre=" + options.data_centre;
    }
    call.time_left = kEntryTimeout;
    const http::ServiceResult result = http::CallService(call);
    if (!result.reply || result.reply->status != 200) continue;
    const Json body = Json::parse(result.reply->body, nullptr, false);
    if (!body.is_object() || !body.contains("addresses")) continue;
    for (const Json& item : body["addresses"]) {
      addresses.push_back(item.value("address", ""));
    }
    if (!addresses.empty()) return addresses;
  }
  return addresses;
}

http::ServiceSend MakeCall(const Options& options) {
  http::ServiceSend call;
  call.headers = {{"X-Foxquay-Workspace", options.workspace},
                  {"X-Foxquay-Timeout", std::to_string(options.timeout_ms)}};
  if (!options.traffic_class.empty()) {
    call.headers.emplace_back("X-Foxquay-Class", options.traffic_class);
  }
  if (!options.key.empty()) {
    call.headers.emplace_back("Idempotency-Key", options.key);
  }
  if (options.no_repeat) {
    call.headers.emplace_back("X-Foxquay-No-Repeat", "true");
  }
  call.time_left =
      std::chrono::milliseconds(options.timeout_ms) + kResponseMargin;
  if (!options.service.empty()) {
    call.method = options.method;
    call.path = "/v1/services/" + options.service + options.path;
    call.body = options.body;
    return call;
  }
  Json body = {{"model", options.model},
               {"prompt", options.prompt},
               {"stream", options.stream}};
  if (options.max_tokens != 0) body["max_tokens"] = options.max_tokens;
  call.method = "POST";
  call.path = "/v1/completions";
  call.headers.emplace_back("Content-Type", "application/json");
  call.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return call;
}

/// Parses server-sent events into an answer; prints tokens as they arrive if
/// `print` is set.
class EventReader {
 public:
  EventReader(Answer& answer, bool print) : answer_(answer), print_(print) {}

  bool Append(std::string_view bytes) {
    buffer_.append(bytes);
    for (std::size_t end = buffer_.find("\n\n"); end != std::string::npos;
         end = buffer_.find("\n\n")) {
      Read(buffer_.substr(0, end));
      buffer_.erase(0, end + 2);
    }
    return true;
  }

  [[nodiscard]] const std::string& rest() const noexcept { return buffer_; }

 private:
  void Read(const std::string& event) {
    constexpr std::string_view kPrefix = "data: ";
    if (!event.starts_with(kPrefix)) return;
    const Json json = Json::parse(event.substr(kPrefix.size()), nullptr, false);
    if (!json.is_object()) return;
    if (json.contains("outcome")) {
      answer_.outcome = json.value("outcome", "");
      answer_.error = json.value("error", "");
      return;
    }
    const std::string text = json.value("text", "");
    answer_.text += text;
    if (print_) std::cout << text << std::flush;
  }

  Answer& answer_;
  bool print_;
  std::string buffer_;
};

std::string Header(const http::ServiceReply& reply, std::string_view name) {
  for (const auto& [key, value] : reply.headers) {
    if (key == name) return value;
  }
  return "";
}

/// Reads what was not an event stream into the answer. `completion` tells
/// whether the request was a completion rather than a service call.
void ReadBody(const http::ServiceReply& reply, const std::string& body,
              bool completion, Answer& answer) {
  if (answer.outcome.empty()) {
    answer.outcome = Header(reply, "X-Foxquay-Outcome");
  }
  const Json json = Json::parse(body, nullptr, false);
  if (json.is_object() && json.contains("error") && json["error"].is_object()) {
    const Json& error = json["error"];
    answer.error =
        error.contains("field") ? error.value("field", "") + ": " : "";
    answer.error += error.value("message", "");
    return;
  }
  if (!completion) {
    answer.text = body;
  } else if (json.is_object()) {
    answer.text = json.value("text", answer.text);
  }
}

/// Sends the request to the first reachable address. A request that may have
/// been sent is not sent to another address, because it may have run.
std::optional<Answer> SendToFirstReachable(
    const Options& options, const std::vector<std::string>& addresses) {
  http::ServiceSend call = MakeCall(options);
  for (const std::string& address : addresses) {
    call.address = address;
    Answer answer;
    EventReader reader(answer, options.stream && options.output == "text");
    const http::ServiceResult result = http::CallStreaming(
        call,
        [&reader](std::string_view bytes) { return reader.Append(bytes); });
    if (!result.sent) continue;
    if (!result.reply) {
      answer.error =
          "connection lost before the answer was complete; the request "
          "may have run";
      return answer;
    }
    answer.status = result.reply->status;
    ReadBody(*result.reply, reader.rest(), options.service.empty(), answer);
    return answer;
  }
  return std::nullopt;
}

int StatusOf(const std::string& outcome) {
  constexpr std::array<std::pair<std::string_view, int>, 4> kStatuses{
      {{"complete", 0}, {"not-run", 3}, {"unknown", 4}, {"failed", 5}}};
  for (const auto& [name, status] : kStatuses) {
    if (name == outcome) return status;
  }
  return kExitNoOutcome;
}

void Print(const Options& options, const Answer& answer) {
  if (options.output == "json") {
    std::cout << Json({{"status", answer.status},
                       {"outcome", answer.outcome},
                       {"text", answer.text},
                       {"error", answer.error}})
                     .dump(-1, ' ', false, Json::error_handler_t::replace)
              << "\n";
    return;
  }
  if (options.stream && !answer.text.empty()) {
    std::cout << "\n";
  } else if (!answer.text.empty()) {
    std::cout << answer.text << "\n";
  }
  std::cout << "outcome: " << answer.outcome << "\n";
  if (!answer.error.empty()) std::cout << "error: " << answer.error << "\n";
}

}  // namespace internal

int Send(int argc, const char** argv) {
  const auto options = internal::Parse(argc, argv);
  if (!options) return kExitUsage;
  const std::string fault = internal::Validate(*options);
  if (!fault.empty()) {
    std::cerr << "foxquay send: " << fault << "; see foxquay send --help\n";
    return kExitUsage;
  }
  const std::vector<std::string> addresses = internal::FetchAddresses(*options);
  const auto answer = internal::SendToFirstReachable(*options, addresses);
  if (!answer) {
    std::cerr << "foxquay send: no host reachable; give --entry the caller "
                 "address of a running host\n";
    return kExitUnavailable;
  }
  internal::Print(*options, *answer);
  return internal::StatusOf(answer->outcome);
}

}  // namespace foxquay::cli
