#include "foxquay_cli/admin.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <utility>

#include "foxquay/http/client.h"
#include "foxquay/settings/settings.h"

namespace foxquay::cli {
namespace internal {

constexpr std::chrono::seconds kCallTimeout{20};

bool ReadFirstLine(const std::string& file, std::string& line) {
  std::ifstream in(file);
  return in && std::getline(in, line) && !line.empty();
}

}  // namespace internal

void AdminOptions::AddTo(Arguments& arguments) {
  arguments.AddText("config", config, "Settings file of a host");
  arguments.AddText("admin", address, "Admin listener, IP:PORT");
  arguments.AddText("token-file", token_file, "File with the operator token");
  arguments.AddText("output", output, "table or json");
}

AdminClient::AdminClient(std::string address, std::string token)
    : address_(std::move(address)), token_(std::move(token)) {}

std::optional<AdminClient> AdminClient::Open(const AdminOptions& options) {
  std::string address = options.address;
  std::string token_file = options.token_file;
  if (!options.config.empty()) {
    const settings::Loaded loaded = settings::Load(options.config);
    for (const core::Finding& finding : loaded.findings) {
      std::cerr << core::Format(finding) << "\n";
    }
    if (!loaded.findings.empty()) return std::nullopt;
    if (address.empty()) address = loaded.settings.listeners.admin;
    if (token_file.empty()) {
      token_file = loaded.settings.security.operator_token_file;
    }
  }
  if (address.empty() || token_file.empty()) {
    std::cerr << "foxquay: give --config FILE, or --admin IP:PORT and "
                 "--token-file FILE\n";
    return std::nullopt;
  }
  std::string token;
  if (!internal::ReadFirstLine(token_file, token)) {
    std::cerr << "foxquay: expected the operator token on the first line of "
              << token_file
              << ", but the line is empty or the file cannot be read; run as "
                 "the owner of the file\n";
    return std::nullopt;
  }
  return AdminClient(std::move(address), std::move(token));
}

std::optional<AdminReply> AdminClient::Call(const std::string& method,
                                            const std::string& path,
                                            const nlohmann::json& body) const {
  http::ServiceSend call;
  call.method = method;
  call.address = address_;
  call.path = path;
  call.headers.emplace_back("Authorization", "Bearer " + token_);
  call.headers.emplace_back("Content-Type", "application/json");
  if (!body.is_null()) call.body = body.dump();
  call.time_left = internal::kCallTimeout;
  const http::ServiceResult result = http::CallService(call);
  if (!result.reply) return std::nullopt;
  return AdminReply{result.reply->status,
                    nlohmann::json::parse(result.reply->body, nullptr, false)};
}

std::optional<nlohmann::json> AdminClient::Get(const std::string& path,
                                               int& status) const {
  const auto reply = Call("GET", path, nullptr);
  if (!reply) {
    std::cerr << "foxquay: no answer from " << address_
              << "; check that foxquayd runs there, or give another host with "
                 "--admin\n";
    status = kExitUnavailable;
    return std::nullopt;
  }
  if (reply->status != 200) {
    status = PrintError(*reply);
    return std::nullopt;
  }
  return reply->body;
}

std::optional<AdminClient> OpenFromArguments(int argc, const char** argv,
                                             AdminOptions& options,
                                             int& status) {
  Arguments arguments("");
  options.AddTo(arguments);
  status = kExitUsage;
  if (!arguments.Parse(argc, argv)) return std::nullopt;
  status = kExitConfig;
  return AdminClient::Open(options);
}

int PrintError(const AdminReply& reply) {
  const bool object = reply.body.is_object();
  if (object && reply.body.contains("findings")) {
    for (const nlohmann::json& finding : reply.body["findings"]) {
      std::cerr << finding.value("field", "") << ": "
                << finding.value("message", "") << "\n";
    }
  }
  if (object && reply.body.contains("error")) {
    std::cerr << "foxquay: " << reply.body.value("error", "") << "\n";
  }
  if (reply.status == 401) return kExitNoPermission;
  if (reply.status == 503) return kExitUnavailable;
  if (reply.status != 409) return kExitRefused;
  std::cerr << "foxquay: the revision is now "
            << reply.body.value("revision", std::uint64_t{0});
  const std::string winner = reply.body.value("winner", "");
  if (!winner.empty()) {
    std::cerr << "; change " << winner << " by "
              << reply.body.value("winner_author", "") << " was accepted first";
  }
  std::cerr << "; check the current values and send the change again\n";
  return kExitConflict;
}

}  // namespace foxquay::cli
