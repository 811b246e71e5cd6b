#include "platform/soak/cluster.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <utility>

namespace foxquay::platform::soak {
namespace {

/// Returns the port of an address with its leading colon.
std::string PortOf(const std::string& address) {
  return address.substr(address.rfind(':'));
}

}  // namespace

Cluster::Cluster(boost::asio::io_context& context, const std::string& binary,
                 std::string connect_filter, std::optional<Machine> machine)
    : connect_filter_(std::move(connect_filter)),
      machine_(machine),
      peer_port_(PortOf(daemon::FreeAddress())),
      partner_port_(PortOf(daemon::FreeAddress())),
      port_(PortOf(daemon::FreeAddress())),
      hosts_(kHosts) {
  std::string name = "/tmp/foxquay-soak-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("mkdtemp");
  folder_ = name;
  for (std::size_t host = 0; host < kHosts; ++host) {
    Host& state = hosts_[host];
    state.binary = binary;
    state.ip = "127.0." + std::to_string(host < kControlHosts ? 1 : 2) + "." +
               std::to_string(host + 1);
    state.proxy = &proxies_.emplace_back(context, "127.0.3.1");
    state.proxy->SetTarget(state.ip + port_);
  }
  for (std::size_t host = 0; host < kHosts; ++host) Start(host);
}

void Cluster::RemoveFolder() { std::filesystem::remove_all(folder_); }

std::string Cluster::Path(std::size_t host, const std::string& suffix) const {
  return folder_ + "/h" + std::to_string(host) + suffix;
}

void Cluster::WriteSettings(std::size_t host, bool bootstrap,
                            const std::string& level) const {
  const bool control = host < kControlHosts;
  const std::string& ip = hosts_[host].ip;
  const std::string unused = ip + ":1";
  std::ofstream out(Path(host, ".new"));
  out << "host: {id: \"" << ip
      << "\", data_centre: " << (host % 2 == 0 ? "east" : "west")
      << ", region: r, roles: [" << (control ? "control" : "entry") << "]"
      << (control ? ", data_folder: " + Path(host, "-data") : "") << "}\n"
      << "listeners: {caller: \"" << (control ? unused : ip + port_)
      << "\", upstream: \"" << (control ? ip + port_ : ip + ":2")
      << "\", admin: \"127.0.0.1:1\", peer: \"" << ip << peer_port_ << "\""
      << (control ? "" : ", partner: \"" + ip + partner_port_ + "\"") << "}\n"
      << "join: {seeds: [";
  for (std::size_t seed = 0; seed < kControlHosts; ++seed) {
    out << (seed == 0 ? "" : ", ") << "\"127.0.1." << seed + 1 << port_ << "\"";
  }
  out << "], tolerated_losses: 1, bootstrap: " << (bootstrap ? "true" : "false")
      << "}\nsecurity: {cluster: soak, open: true, "
      << "upstream_networks: [127.0.0.0/8]}\n"
      << "limits: {grace: 4s, revocation: 5s, change_in_force: 2500ms, "
      << "upstream_silence: 3s, "
      << "upstream_heartbeat: 500ms}\n"
      << "budget: {ratio: 0.2, slack: 100, window: 10s}\n"
      << "log: {level: " << level << "}\n";
  out.close();
  std::filesystem::rename(Path(host, ".new"), Path(host, ".yaml"));
}

std::vector<std::string> Cluster::ProxyAddresses(bool control) const {
  std::vector<std::string> addresses;
  for (std::size_t host = 0; host < kHosts; ++host) {
    if ((host < kControlHosts) == control) {
      addresses.push_back(hosts_[host].proxy->address());
    }
  }
  return addresses;
}

void Cluster::Start(std::size_t host) {
  WriteSettings(host, !std::exchange(hosts_[host].started, true), "info");
  std::vector<std::string> command;
  if (machine_) {
    command = {"/bin/sh", "-c",
               "ulimit -d " + std::to_string(machine_->memory_kib) +
                   "; ulimit -n " + std::to_string(machine_->descriptors) +
                   "; exec \"$0\" \"$@\""};
  }
  if (!connect_filter_.empty()) {
    for (const std::string& word :
         {std::string("/usr/bin/env"), "LD_PRELOAD=" + connect_filter_,
          "FOXQUAY_CUT_FILE=" + Path(host, ".cut")}) {
      command.push_back(word);
    }
  }
  command.push_back(hosts_[host].binary);
  command.push_back(Path(host, ".yaml"));
  hosts_[host].process.emplace(command, Path(host, ".log"));
}

void Cluster::CutFromUpstreams(std::size_t host, int port) const {
  const std::string file = Path(host, ".cut.new");
  std::ofstream(file) << port;
  std::filesystem::rename(file, Path(host, ".cut"));
}

void Cluster::ReconnectToUpstreams(std::size_t host) const {
  std::filesystem::remove(Path(host, ".cut"));
}

void Cluster::Kill(std::size_t host) { hosts_[host].process.reset(); }

void Cluster::Signal(std::size_t host, int number) {
  if (running(host)) hosts_[host].process->Signal(number);
}

std::optional<int> Cluster::TakeExitStatus(std::size_t host) {
  if (!running(host)) return std::nullopt;
  const std::optional<int> status = hosts_[host].process->Ended();
  if (status) hosts_[host].process.reset();
  return status;
}

void Cluster::DeleteData(std::size_t host) {
  std::filesystem::remove_all(Path(host, "-data"));
}

void Cluster::AppendTornWrite(std::size_t host) {
  std::optional<std::filesystem::directory_entry> newest;
  for (const auto& entry :
       std::filesystem::directory_iterator(Path(host, "-data"))) {
    const bool log = entry.path().filename().string().starts_with("log-");
    const bool newer =
        !newest || entry.last_write_time() > newest->last_write_time();
    if (log && newer) newest = entry;
  }
  if (!newest) return;
  std::ofstream(newest->path(), std::ios::app | std::ios::binary)
      << std::string("\x2a\0\0\0torn", 8);
}

void Cluster::RewriteSettings(std::size_t host) {
  WriteSettings(host, false, "debug");
}

}  // namespace foxquay::platform::soak
