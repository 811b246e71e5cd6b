#include "host_fixture.h"

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "fakes/token.h"

namespace foxquay::daemon {
namespace internal {

constexpr std::chrono::seconds kCallTimeout{30};

std::string MakeDirectory() {
  std::string name = "/tmp/foxquay-test-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("mkdtemp");
  return name;
}

std::string CompletionBody(const std::string& prompt, std::uint32_t tokens,
                           bool stream) {
  return nlohmann::json({{"model", "tiny"},
                         {"prompt", prompt},
                         {"max_tokens", tokens},
                         {"stream", stream}})
      .dump();
}

http::ServiceSend Call(const std::string& address, const std::string& method,
                       const std::string& path, const std::string& body,
                       const Headers& headers) {
  http::ServiceSend call;
  call.method = method;
  call.address = address;
  call.path = path;
  call.headers = headers;
  call.body = body;
  call.time_left = kCallTimeout;
  return call;
}

void ReadEvents(std::string& buffer, Streamed& streamed) {
  for (std::size_t end = buffer.find("\n\n"); end != std::string::npos;
       end = buffer.find("\n\n")) {
    const auto event = nlohmann::json::parse(
        buffer.substr(sizeof("data: ") - 1, end + 1 - sizeof("data: ")));
    buffer.erase(0, end + 2);
    if (event.contains("outcome")) {
      streamed.outcome = event["outcome"];
    } else {
      streamed.tokens.emplace_back(event["index"], event["text"]);
    }
  }
}

}  // namespace internal

HostFixture::HostFixture()
    : directory_(internal::MakeDirectory()),
      caller_(FreeAddress()),
      upstream_(FreeAddress()) {
  std::ofstream settings(directory_ + "/host.yaml");
  settings << "host: {id: test, data_centre: jo-south-a, region: jo-south, "
              "roles: [entry, control], data_folder: "
           << directory_ << "/data}\n"
           << "listeners: {caller: \"" << caller_ << "\", upstream: \""
           << upstream_ << "\", admin: \"" << FreeAddress() << "\", peer: \""
           << FreeAddress() << "\"}\n"
           << "security: {cluster: test, peer_key_file: " << directory_
           << "/key, operator_token_file: " << directory_
           << "/token, upstream_networks: [127.0.0.0/8]}\n"
           << "limits: {max_body_bytes: 65536}\n";
  settings.close();
  for (const char* name : {"/key", "/token"}) {
    std::ofstream(directory_ + name) << "0123456789abcdef0123456789abcdef\n";
    std::filesystem::permissions(directory_ + name,
                                 std::filesystem::perms::owner_read |
                                     std::filesystem::perms::owner_write);
  }
  host_.emplace(std::vector<std::string>{FOXQUAYD_BINARY, "--config",
                                         directory_ + "/host.yaml"},
                HostLog());
}

HostFixture::~HostFixture() {
  upstreams_.clear();
  host_.reset();
  std::filesystem::remove_all(directory_);
}

Process& HostFixture::Start(std::vector<std::string> command,
                            const std::string& id,
                            const std::vector<std::string>& options) {
  for (const std::string& word :
       {std::string("--id"), id, std::string("--listen"), FreeAddress(),
        std::string("--announce"), upstream_, std::string("--log"),
        directory_ + "/" + id}) {
    command.push_back(word);
  }
  command.insert(command.end(), options.begin(), options.end());
  return upstreams_.emplace_back(command, directory_ + "/upstreams.log");
}

Process& HostFixture::StartModel(const std::string& id, std::uint32_t first,
                                 std::uint32_t last, std::uint32_t layers,
                                 const std::vector<std::string>& options) {
  return Start({FAKE_MODEL_BINARY, "--model", "tiny", "--first-layer",
                std::to_string(first), "--last-layer", std::to_string(last),
                "--model-layers", std::to_string(layers)},
               id, options);
}

Process& HostFixture::StartService(const std::string& id,
                                   const std::vector<std::string>& options) {
  return Start({FAKE_SERVICE_BINARY, "--service", "desk"}, id, options);
}

bool HostFixture::AwaitModelReady() {
  const bool ready = Await([this] {
    const auto result = Complete("ready", 1);
    return result.reply && result.reply->status == 200;
  });
  for (const auto& entry : std::filesystem::directory_iterator(directory_)) {
    ignored_[entry.path().filename()] = Lines(entry.path()).size();
  }
  return ready;
}

bool HostFixture::AwaitServiceReady() {
  const bool ready = Await([this] {
    const auto result = Send("GET", "/v1/services/desk/ready", "",
                             {{"X-Foxquay-Workspace", "test"}});
    return result.reply && result.reply->status == 200;
  });
  for (const auto& entry : std::filesystem::directory_iterator(directory_)) {
    ignored_[entry.path().filename()] = Lines(entry.path()).size();
  }
  return ready;
}

http::ServiceResult HostFixture::Send(const std::string& method,
                                      const std::string& path,
                                      const std::string& body,
                                      const Headers& headers) {
  return http::CallService(
      internal::Call(caller_, method, path, body, headers));
}

http::ServiceResult HostFixture::Complete(const std::string& prompt,
                                          std::uint32_t tokens) {
  return Send("POST", "/v1/completions",
              internal::CompletionBody(prompt, tokens, false),
              {{"X-Foxquay-Workspace", "test"}});
}

Streamed HostFixture::Stream(const std::string& prompt, std::uint32_t tokens) {
  Streamed streamed;
  std::string buffer;
  const auto call =
      internal::Call(caller_, "POST", "/v1/completions",
                     internal::CompletionBody(prompt, tokens, true),
                     {{"X-Foxquay-Workspace", "test"}});
  (void)http::CallStreaming(call, [&](std::string_view bytes) {
    buffer.append(bytes);
    internal::ReadEvents(buffer, streamed);
    return true;
  });
  return streamed;
}

std::vector<std::string> HostFixture::Log(const std::string& id) const {
  std::vector<std::string> lines = Lines(directory_ + "/" + id);
  const auto ignored = ignored_.find(id);
  if (ignored != ignored_.end()) {
    lines.erase(lines.begin(),
                lines.begin() + static_cast<std::ptrdiff_t>(ignored->second));
  }
  return lines;
}

bool IsCompleteStream(const Streamed& streamed, const std::string& prompt,
                      std::uint32_t tokens, std::uint32_t layers) {
  if (streamed.tokens.size() != tokens) return false;
  for (std::uint32_t index = 0; index < tokens; ++index) {
    if (streamed.tokens[index] !=
        std::make_pair(index, fakes::ExpectedToken(prompt, index, layers))) {
      return false;
    }
  }
  return streamed.outcome == "complete";
}

std::map<std::string, int> CountLines(const std::vector<std::string>& lines) {
  std::map<std::string, int> counts;
  for (const std::string& line : lines) ++counts[line];
  return counts;
}

}  // namespace foxquay::daemon
