#include "platform/scenarios/scenario.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "daemon/process.h"
#include "foxquay/net/clock.h"
#include "platform/soak/after.h"

namespace foxquay::platform::scenarios {
namespace {

constexpr std::size_t kUpstreams = 10;
constexpr std::chrono::milliseconds kSuperviseInterval(20);
/// Time after which an upstream that crashed runs again.
constexpr std::chrono::milliseconds kRestartTime(1000);
constexpr std::chrono::seconds kStartTimeout(60);

}  // namespace

Scenario::Scenario(std::string crashing_part)
    : crashing_part_(std::move(crashing_part)),
      cluster_(context_, FOXQUAY_PLATFORM_BINARY),
      operator_(context_, checker_, cluster_.ProxyAddresses(true), 1),
      client_(context_) {
  for (std::size_t index = 0; index < kUpstreams; ++index) {
    const std::string address = daemon::FreeAddress();
    ports_.push_back(address.substr(address.rfind(':') + 1));
    StartUpstream(index);
  }
  Supervise();
}

Scenario::~Scenario() {
  for (std::size_t host = 0; host < soak::kHosts; ++host) cluster_.Kill(host);
  if (checker_.violations().empty()) cluster_.RemoveFolder();
}

void Scenario::StartUpstream(std::size_t index) {
  soak::FakeUpstream::Options options;
  options.id = "w" + std::to_string(++incarnations_);
  options.service = "model";
  options.zone = index % 2 == 0 ? "east" : "west";
  options.ip = "127.0.5." + std::to_string(index + 1);
  options.port = ports_[index];
  options.address = options.ip + ":" + options.port;
  options.seed = random_();
  options.crashing_part = crashing_part_;
  options.on_request = [this](const net::Request& request) {
    if (active_.begin()->second->Crashes(request)) {
      reached_.push_back(net::SteadyNow());
    }
  };
  upstreams_.emplace_back(
      context_, options, checker_,
      [this](const std::string& address) { return UpstreamAt(address); },
      cluster_.ProxyAddresses(true));
  active_[index] = &upstreams_.back();
}

soak::FakeUpstream* Scenario::UpstreamAt(const std::string& address) {
  for (const auto& [index, upstream] : active_) {
    if (upstream->alive() && upstream->options().address == address) {
      return upstream;
    }
  }
  return nullptr;
}

void Scenario::Supervise() {
  soak::After(context_, kSuperviseInterval, [this] { Supervise(); });
  for (const auto& [index, upstream] : active_) {
    if (upstream->alive() || !restarting_.insert(index).second) continue;
    crashes_.push_back(net::SteadyNow());
    soak::After(context_, kRestartTime, [this, index = index] {
      restarting_.erase(index);
      StartUpstream(index);
    });
  }
}

void Scenario::AwaitServing() {
  operator_.ReplaceConfiguration();
  const core::Instant end = net::SteadyNow() + kStartTimeout;
  while (served() < 20 && net::SteadyNow() < end) {
    SendStream("0a:40,0b:60");
    RunFor(std::chrono::milliseconds(50));
  }
  if (served() < 20) throw std::runtime_error("the cluster does not serve");
  RunFor(std::chrono::seconds(1));
}

void Scenario::SendStream(const std::string& parts) {
  const std::string id = "s" + std::to_string(next_id_++);
  soak::InvariantChecker::RequestRecord record;
  record.kind = soak::RequestKind::kStream;
  record.target = "/stream/x?id=" + id;
  record.body = "body of " + id;
  record.workspace = "w";
  record.key = soak::kPermanentKey;
  record.sent_at = net::SteadyNow();
  net::Request request;
  request.method = "POST";
  request.target = record.target;
  request.body = record.body;
  request.fields.set("Host", "soak.example");
  request.fields.set("X-Request-Id", id);
  request.fields.set("X-Deadline", "6000");
  request.fields.set("Authorization", "Bearer " + record.key);
  request.fields.set("X-Model", "m");
  request.fields.set("X-Token-Count", "100,24");
  request.fields.set("X-Prompt-Prefix", parts + ",ff" + id + ":10");
  checker_.RecordSent(id, std::move(record));
  const std::vector<std::string> entries = cluster_.ProxyAddresses(false);
  client_.Send(entries[random_() % entries.size()], request,
               [this, id](unsigned status, const net::Fields& fields,
                          const std::string& body) {
                 ++statuses_[status];
                 if (status == 0) return;
                 checker_.RecordAnswer(id, status, body,
                                       fields.count("X-Response-Stamp") != 0);
               });
}

void Scenario::Repeat(core::Duration interval,
                      const std::function<void()>& action) {
  RepeatOnce(interval, action, generation_);
}

void Scenario::RepeatOnce(core::Duration interval,
                          const std::function<void()>& action,
                          unsigned generation) {
  if (generation != generation_) return;
  action();
  soak::After(context_, interval, [this, interval, action, generation] {
    RepeatOnce(interval, action, generation);
  });
}

bool Scenario::RunUntil(const std::function<bool()>& condition,
                        core::Duration timeout) {
  const core::Instant end = net::SteadyNow() + timeout;
  while (!condition() && net::SteadyNow() < end) RunFor(kSuperviseInterval);
  return condition();
}

std::size_t Scenario::ReachedAfter(core::Instant from) const {
  return static_cast<std::size_t>(
      std::count_if(reached_.begin(), reached_.end(),
                    [from](core::Instant at) { return at > from; }));
}

}  // namespace foxquay::platform::scenarios
