#include "cluster.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace foxquay::daemon {
namespace internal {

constexpr std::chrono::seconds kCallTimeout{15};

std::string MakeClusterFolder() {
  std::string name = "/tmp/foxquay-cluster-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("mkdtemp");
  return name;
}

http::ServiceResult Send(
    const std::string& address, const std::string& method,
    const std::string& path, const std::string& body,
    std::vector<std::pair<std::string, std::string>> headers) {
  http::ServiceSend call;
  call.address = address;
  call.method = method;
  call.path = path;
  call.body = body;
  call.headers = std::move(headers);
  call.time_left = kCallTimeout;
  return http::CallService(call);
}

}  // namespace internal

Cluster::Cluster(std::size_t hosts, std::size_t replicas, std::size_t unlisted)
    : folder_(internal::MakeClusterFolder()), listeners_(hosts), hosts_(hosts) {
  for (const char* name : {"/key", "/token"}) {
    std::ofstream(folder_ + name) << "0123456789abcdef\n";
    std::filesystem::permissions(folder_ + name,
                                 std::filesystem::perms::owner_read |
                                     std::filesystem::perms::owner_write);
  }
  for (std::size_t host = 0; host < hosts; ++host) {
    WriteSettings(host, replicas, unlisted);
    Start(host);
  }
}

Cluster::~Cluster() {
  services_.clear();
  hosts_.clear();
  std::filesystem::remove_all(folder_);
}

std::string Cluster::Path(std::size_t host, const std::string& suffix) const {
  return folder_ + "/h" + std::to_string(host) + suffix;
}

void Cluster::WriteSettings(std::size_t host, std::size_t replicas,
                            std::size_t unlisted) const {
  const std::size_t listed = listeners_.size() - unlisted;
  const bool is_unlisted = host >= listed;
  const Listeners& own = listeners_[host];
  std::ofstream out(Path(host, ".yaml"));
  out << "host: {id: h" << host << ", data_centre: osborne, region: perth, "
      << "roles: [entry" << (host < replicas ? ", control" : "")
      << "], data_folder: " << Path(host, "-data") << "}\n"
      << "listeners: {caller: \"" << own.caller << "\", upstream: \""
      << own.upstream << "\", admin: \"" << own.admin << "\", peer: \""
      << own.peer << "\"}\npeers:\n";
  for (std::size_t other = 0; other < listeners_.size(); ++other) {
    if (other == host || other >= (is_unlisted ? replicas : listed)) continue;
    out << "  - {id: h" << other << ", address: \"" << listeners_[other].peer
        << "\", caller: \"" << listeners_[other].caller
        << "\", data_centre: osborne, region: perth, control: "
        << (other < replicas ? "true" : "false") << "}\n";
  }
  out << "security: {cluster: test, peer_key_file: " << folder_
      << "/key, operator_token_file: " << folder_
      << "/token, upstream_networks: [127.0.0.0/8]}\n";
}

void Cluster::Start(std::size_t host) {
  hosts_[host].emplace(std::vector<std::string>{FOXQUAYD_BINARY, "--config",
                                                Path(host, ".yaml")},
                       Path(host, ".log"));
}

void Cluster::Kill(std::size_t host) { hosts_[host].reset(); }

void Cluster::Signal(std::size_t host, int number) {
  hosts_[host]->Signal(number);
}

void Cluster::DeleteDataFolder(std::size_t host) {
  std::filesystem::remove_all(Path(host, "-data"));
}

void Cluster::StartService(std::size_t host) {
  services_.emplace_back(
      std::vector<std::string>{FAKE_SERVICE_BINARY, "--service", "desk", "--id",
                               "desk-1", "--listen", FreeAddress(),
                               "--announce", listeners_[host].upstream, "--log",
                               folder_ + "/desk-1"},
      folder_ + "/services.log");
}

std::size_t Cluster::ServiceRuns() const {
  const auto lines = Lines(folder_ + "/desk-1");
  return static_cast<std::size_t>(
      std::count_if(lines.begin(), lines.end(), [](const std::string& line) {
        return line.find("/ready") == std::string::npos;
      }));
}

AdminAnswer Cluster::Admin(std::size_t host, const std::string& method,
                           const std::string& path,
                           const nlohmann::json& body) const {
  const auto result = internal::Send(
      listeners_[host].admin, method, path, body.is_null() ? "" : body.dump(),
      {{"Authorization", "Bearer 0123456789abcdef"}});
  if (!result.reply) return {};
  return {result.reply->status,
          nlohmann::json::parse(result.reply->body, nullptr, false)};
}

AdminAnswer Cluster::SetTtl(std::size_t host, int value,
                            std::uint64_t expected_revision,
                            const std::string& change_id, bool wait) const {
  const std::string path = std::string("/admin/v1/defaults/entry.ttl") +
                           (wait ? "?wait=in-force" : "");
  return Admin(host, "PUT", path,
               {{"value", value},
                {"expected_revision", expected_revision},
                {"change_id", change_id},
                {"author", "test"}});
}

http::ServiceResult Cluster::SendProtected(std::size_t host,
                                           const std::string& key) const {
  return internal::Send(listeners_[host].caller, "POST",
                        "/v1/services/desk/book", "{}",
                        {{"X-Foxquay-Workspace", "test"},
                         {"X-Foxquay-No-Repeat", "true"},
                         {"Idempotency-Key", key}});
}

http::ServiceResult Cluster::SendOrdinary(std::size_t host) const {
  return internal::Send(listeners_[host].caller, "GET",
                        "/v1/services/desk/ready", "",
                        {{"X-Foxquay-Workspace", "test"}});
}

std::size_t Cluster::EntryAddresses(std::size_t host) const {
  const auto result =
      internal::Send(listeners_[host].caller, "GET", "/v1/entry", "", {});
  if (!result.reply) return 0;
  return nlohmann::json::parse(result.reply->body)["addresses"].size();
}

bool Cluster::AwaitAdmitting(std::size_t host) const {
  return Await([&] {
    const AdminAnswer answer = Admin(host, "GET", "/admin/v1/status");
    return answer.status == 200 && answer.body["admitting"] == true;
  });
}

bool Cluster::AwaitService(std::size_t host) const {
  return Await([&] {
    const auto result = SendOrdinary(host);
    return result.reply && result.reply->status == 200;
  });
}

std::optional<std::uint64_t> Cluster::Revision(std::size_t host) const {
  const AdminAnswer answer = Admin(host, "GET", "/admin/v1/status");
  if (answer.status != 200) return std::nullopt;
  return answer.body["revision"].get<std::uint64_t>();
}

std::optional<std::size_t> Cluster::Leader(std::size_t host) const {
  const AdminAnswer answer = Admin(host, "GET", "/admin/v1/status");
  if (answer.status != 200) return std::nullopt;
  const auto name = answer.body["leader"].get<std::string>();
  if (name.empty()) return std::nullopt;
  return std::stoul(name.substr(1));
}

std::string HeaderOf(const http::ServiceResult& result,
                     const std::string& name) {
  if (!result.reply) return "";
  for (const auto& [key, value] : result.reply->headers) {
    if (key == name) return value;
  }
  return "";
}

std::string MakeIdempotencyKey(const std::string& unique) {
  const auto expiry = std::chrono::system_clock::now() + std::chrono::hours(1);
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
      expiry.time_since_epoch());
  return std::to_string(seconds.count()) + "." + unique;
}

}  // namespace foxquay::daemon
