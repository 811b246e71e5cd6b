#include "foxquay/daemon/host.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <utility>
#include <variant>

#include "foxquay/core/hash.h"
#include "foxquay/daemon/announcement_check.h"
#include "foxquay/daemon/clock.h"
#include "foxquay/http/upstream.h"

namespace foxquay::daemon {
namespace internal {

constexpr std::chrono::milliseconds kMaintenanceInterval{100};
constexpr std::chrono::milliseconds kDrainPollInterval{20};
constexpr std::uint32_t kFullWeight = 100;

dispatch::EngineOptions EngineOptions(const schema::Settings& settings) {
  dispatch::EngineOptions options;
  options.host = settings.host.id;
  options.data_centre = settings.host.data_centre;
  options.seed = core::Hash(settings.host.id.value());
  return options;
}

/// Returns a prefix that is unique to this run of the host, so that upstreams
/// can tell its requests from those of other hosts and of earlier runs.
std::string RequestNamePrefix(const schema::Settings& settings) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return settings.host.id.value() + "-" +
         std::to_string(
             std::chrono::duration_cast<std::chrono::microseconds>(now)
                 .count());
}

http::Outgoing Accepted() {
  http::Outgoing outgoing;
  outgoing.status = 204;
  return outgoing;
}

}  // namespace internal

Host::Host(const schema::Settings& settings, const ControlHooks& hooks)
    : settings_(settings),
      hooks_(hooks),
      traffic_(internal::EngineOptions(settings),
               internal::RequestNamePrefix(settings), hooks_),
      caller_api_(
          traffic_, settings.listeners.caller,
          [this](const core::DataCentreId& caller_data_centre) {
            return Entry(caller_data_centre);
          },
          hooks_),
      caller_server_({settings.limits.max_body_bytes}, caller_api_.Routes()),
      upstream_server_({settings.limits.max_body_bytes}, UpstreamRoutes()) {
  for (const std::string& text : settings_.security.upstream_networks) {
    const auto network = http::ParseNetwork(text);
    if (network) networks_.push_back(network.value());
  }
}

Host::~Host() {
  caller_server_.Stop();
  upstream_server_.Stop();
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stop_condition_.notify_all();
  if (maintenance_.joinable()) maintenance_.join();
}

std::error_code Host::Start() {
  const schema::ListenerSettings& listeners = settings_.listeners;
  if (const auto error = upstream_server_.Start(listeners.upstream)) {
    Log("event=listen-failed listener=upstream address=" + listeners.upstream);
    return error;
  }
  if (const auto error = caller_server_.Start(listeners.caller)) {
    Log("event=listen-failed listener=caller address=" + listeners.caller);
    return error;
  }
  maintenance_ = std::thread([this] { Maintain(); });
  Log("event=started host=" + settings_.host.id.value() +
      " caller=" + listeners.caller + " upstream=" + listeners.upstream);
  return {};
}

void Host::Drain() {
  draining_.store(true);
  const std::chrono::milliseconds ttl(
      traffic_.Policy(schema::PolicyKey::kEntryTtl));
  Log("event=drain-started admit_ms=" + std::to_string(ttl.count()));
  if (hooks_.drain_started) hooks_.drain_started();
  std::this_thread::sleep_for(ttl);
  traffic_.CloseAdmission("host is draining");
  const auto overdue =
      std::chrono::steady_clock::now() + settings_.limits.drain_timeout;
  bool overdue_logged = false;
  while (!OpenRequests().empty() || caller_server_.InFlight() > 0) {
    std::this_thread::sleep_for(internal::kDrainPollInterval);
    if (overdue_logged || std::chrono::steady_clock::now() < overdue) continue;
    overdue_logged = true;
    for (const std::string& name : OpenRequests()) {
      Log("event=drain-overdue request=" + name);
    }
  }
  Log("event=drained host=" + settings_.host.id.value());
}

std::vector<std::string> Host::OpenRequests() const {
  return traffic_.OpenRequests();
}

void Host::Log(const std::string& line) const {
  if (hooks_.log) {
    hooks_.log(line);
  } else {
    std::cerr << line + "\n";
  }
}

std::vector<http::Route> Host::UpstreamRoutes() {
  return {
      {"PUT", "/v1/upstreams/:id",
       [this](http::Incoming&& incoming) { return Announce(incoming); }},
      {"DELETE", "/v1/upstreams/:id",
       [this](http::Incoming&& incoming) { return Withdraw(incoming); }},
  };
}

http::Outgoing Host::Announce(const http::Incoming& incoming) {
  if (!MayAnnounce(incoming)) {
    return http::Render(http::Problem{
        403, "address", "the address is not in security.upstream_networks"});
  }
  auto form = http::ReadAnnouncement(incoming);
  if (const auto* problem = std::get_if<http::Problem>(&form)) {
    return http::Render(*problem);
  }
  auto& announcement = std::get<schema::Announcement>(form);
  const core::Findings findings = CheckAnnouncement(announcement, WallNow());
  if (!findings.empty()) {
    const core::Finding& first = findings.front();
    return http::Render(http::Problem{400, first.path, first.message});
  }
  if (hooks_.announcement_received) {
    hooks_.announcement_received(announcement);
    return internal::Accepted();
  }
  const std::lock_guard lock(mutex_);
  if (announcements_.Put(std::move(announcement),
                         std::chrono::steady_clock::now())) {
    Publish();
  }
  return internal::Accepted();
}

http::Outgoing Host::Withdraw(const http::Incoming& incoming) {
  if (!MayAnnounce(incoming)) {
    return http::Render(http::Problem{
        403, "address", "the address is not in security.upstream_networks"});
  }
  const core::UpstreamId id(incoming.Parameter("id").value_or(""));
  if (hooks_.withdrawal_received) {
    hooks_.withdrawal_received(id);
    return internal::Accepted();
  }
  const std::lock_guard lock(mutex_);
  if (announcements_.Remove(id)) Publish();
  return internal::Accepted();
}

bool Host::MayAnnounce(const http::Incoming& incoming) const {
  const auto& peer = reinterpret_cast<const sockaddr&>(incoming.peer);
  return std::any_of(networks_.begin(), networks_.end(),
                     [&peer](const http::Network& network) {
                       return http::Contains(network, peer);
                     });
}

/// Precondition: mutex_ is held, so that concurrent updates reach Traffic in
/// order.
void Host::Publish() { traffic_.SetUpstreams(announcements_.Active()); }

void Host::Maintain() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (announcements_.Expire(std::chrono::steady_clock::now())) Publish();
    lock.unlock();
    traffic_.CancelAbandonedRequests();
    lock.lock();
    stop_condition_.wait_for(lock, internal::kMaintenanceInterval);
  }
}

http::EntryAnswer Host::Entry(const core::DataCentreId& caller_data_centre) {
  return hooks_.entry_answer ? hooks_.entry_answer(caller_data_centre)
                             : LocalEntry(caller_data_centre);
}

http::EntryAnswer Host::LocalEntry(
    const core::DataCentreId& caller_data_centre) const {
  http::EntryAnswer answer;
  answer.ttl =
      std::chrono::milliseconds(traffic_.Policy(schema::PolicyKey::kEntryTtl));
  if (!draining()) {
    const auto weight = static_cast<std::uint32_t>(internal::kFullWeight *
                                                   traffic_.FreeCapacity());
    answer.addresses.push_back({settings_.host.id.value(),
                                settings_.listeners.caller,
                                settings_.host.data_centre.value(),
                                std::max<std::uint32_t>(weight, 1)});
  }
  for (const schema::PeerSettings& peer : settings_.peers) {
    answer.addresses.push_back({peer.id.value(), peer.caller,
                                peer.data_centre.value(),
                                internal::kFullWeight});
  }
  std::stable_partition(
      answer.addresses.begin(), answer.addresses.end(),
      [&caller_data_centre](const http::EntryAddress& address) {
        return address.data_centre == caller_data_centre.value();
      });
  return answer;
}

}  // namespace foxquay::daemon
