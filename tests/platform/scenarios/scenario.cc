#include "platform/scenarios/scenario.h"

#include <algorithm>
#include <iostream>
#include <stdexcept>
#include <utility>

#include "daemon/process.h"
#include "foxquay/net/clock.h"
#include "platform/scenarios/failures.h"
#include "platform/soak/after.h"

namespace foxquay::platform::scenarios {
namespace {

constexpr std::chrono::milliseconds kSuperviseInterval(20);
/// Time after which an upstream that crashed runs again.
constexpr std::chrono::milliseconds kRestartTime(1000);
constexpr std::chrono::milliseconds kHeartbeatInterval(500);
constexpr std::chrono::seconds kStartTimeout(30);

}  // namespace

Scenario::Scenario(Options options)
    : options_(std::move(options)),
      cluster_(context_, FOXQUAY_PLATFORM_BINARY,
               options_.cuts_hosts ? FOXQUAY_CONNECT_FILTER : "",
               options_.machine),
      operator_(context_, checker_, cluster_.ProxyAddresses(true), 1),
      client_(context_) {
  for (std::size_t index = 0; index < options_.models + options_.apps;
       ++index) {
    const std::string address = daemon::FreeAddress();
    ports_.push_back(address.substr(address.rfind(':') + 1));
    StartUpstream(index);
  }
  Supervise();
}

Scenario::~Scenario() {
  for (std::size_t host = 0; host < soak::kHosts; ++host) cluster_.Kill(host);
  if (checker_.violations().empty() && !TestCaseFailed()) {
    cluster_.RemoveFolder();
  } else {
    PrintSummary();
  }
}

void Scenario::PrintSummary() const {
  std::cout << "logs: " << cluster_.folder() << '\n';
  for (const auto& [status, count] : statuses_) {
    std::cout << count << " answers with status " << status << '\n';
  }
  std::map<std::pair<std::size_t, char>, std::size_t> counts;
  for (const Arrival& arrival : arrivals_) {
    ++counts[{arrival.upstream, arrival.id.front()}];
  }
  for (const auto& [key, count] : counts) {
    std::cout << "upstream " << key.first << " got " << count
              << " requests with ids that begin with " << key.second << '\n';
  }
}

void Scenario::StartUpstream(std::size_t index) {
  soak::FakeUpstream::Options options;
  std::string& id = ids_[index];
  if (id.empty()) id = "w" + std::to_string(++incarnations_);
  options.id = id;
  options.service = index < options_.models ? "model" : "app";
  options.zone = index % 2 == 0 ? "east" : "west";
  options.ip = "127.0.5." + std::to_string(index + 1);
  options.port = ports_[index];
  options.address = options.ip + ":" + options.port;
  options.seed = random_();
  options.crashing_part = options_.crashing_part;
  options.crashing_target = options_.crashing_target;
  options.on_request = [this, index](const net::Request& request) {
    const core::Instant now = net::SteadyNow();
    if (active_.at(index)->Crashes(request)) reached_.push_back(now);
    arrivals_.push_back(
        {index, std::string(request.fields["X-Request-Id"]), now});
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
    ids_[index].clear();
    soak::After(context_, kRestartTime, [this, index = index] {
      restarting_.erase(index);
      StartUpstream(index);
    });
  }
}

void Scenario::AwaitServing() {
  operator_.ReplaceConfiguration();
  const auto kind =
      options_.apps > 0 ? soak::RequestKind::kRead : soak::RequestKind::kStream;
  const core::Instant end = net::SteadyNow() + kStartTimeout;
  while (served(kind) < 20 && net::SteadyNow() < end) {
    if (options_.apps > 0) {
      SendPlain("read", random_() % soak::kEntryHosts);
    } else {
      SendStream("0a:40,0b:60");
    }
    RunFor(std::chrono::milliseconds(50));
  }
  if (served(kind) < 20) {
    std::string answers;
    for (const auto& [status, count] : statuses_) {
      answers += " " + std::to_string(status) + "x" + std::to_string(count);
    }
    checker_.ReportViolation("the cluster serves", answers);
    throw std::runtime_error("the cluster does not serve; answers:" + answers);
  }
  RunFor(std::chrono::seconds(1));
}

void Scenario::SendStream(const std::string& parts) {
  const std::string id = "s" + std::to_string(next_id_++);
  Send(id, soak::RequestKind::kStream, "/stream/x?id=" + id,
       parts + ",ff" + id + ":10", soak::kPermanentKey,
       random_() % soak::kEntryHosts);
}

void Scenario::SendPlain(const std::string& route, std::size_t entry) {
  SendPlainWithKey(route, entry, soak::kPermanentKey);
}

void Scenario::SendPlainWithKey(const std::string& route, std::size_t entry,
                                const std::string& key) {
  const std::string id =
      std::to_string(entry) + "-" + std::to_string(next_id_++);
  Send(id,
       route == "read" ? soak::RequestKind::kRead : soak::RequestKind::kBook,
       "/" + route + "/x?id=" + id, "", key, entry);
}

void Scenario::SendLarge(const std::string& route, std::size_t entry,
                         std::size_t bytes) {
  const std::string id =
      std::to_string(entry) + "-" + std::to_string(next_id_++);
  Send(id,
       route == "read" ? soak::RequestKind::kRead : soak::RequestKind::kBook,
       "/" + route + "/x?id=" + id, "", soak::kPermanentKey, entry,
       std::string(bytes, 'x'));
}

void Scenario::Send(const std::string& id, soak::RequestKind kind,
                    const std::string& target, const std::string& parts,
                    const std::string& key, std::size_t entry,
                    const std::string& body) {
  soak::InvariantChecker::RequestRecord record;
  record.kind = kind;
  record.target = target;
  if (kind != soak::RequestKind::kRead) {
    record.body = body.empty() ? "body of " + id : body;
  }
  record.workspace = "w";
  record.key = key;
  record.sent_at = net::SteadyNow();
  net::Request request;
  request.method = kind == soak::RequestKind::kRead ? "GET" : "POST";
  request.target = record.target;
  request.body = record.body;
  request.fields.set("Host", "soak.example");
  request.fields.set("X-Request-Id", id);
  request.fields.set("X-Deadline", "6000");
  request.fields.set("Authorization", "Bearer " + record.key);
  if (kind == soak::RequestKind::kStream) {
    request.fields.set("X-Model", "m");
    request.fields.set("X-Token-Count", "100,24");
    request.fields.set("X-Prompt-Prefix", parts);
  }
  checker_.RecordSent(id, std::move(record));
  ++tallies_[entry].sent;
  client_.Send(
      cluster_.ProxyAddresses(false).at(entry), request,
      [this, id, entry, generation = tally_generation_](
          unsigned status, const net::Fields& fields, const std::string& body) {
        ++statuses_[status];
        answers_[id] = status;
        const bool served = status / 100 == 2;
        if (served && generation == tally_generation_) {
          ++tallies_[entry].served;
        }
        if (status == 0) return;
        checker_.RecordAnswer(id, status, body,
                              fields.count("X-Response-Stamp") != 0);
      });
}

void Scenario::SendSame(soak::RequestKind kind, const std::string& target) {
  Send("same-" + std::to_string(next_id_++), kind, target, "0a:40,5a3e:10",
       soak::kPermanentKey, random_() % soak::kEntryHosts, "same body");
}

void Scenario::Restart(std::size_t index) {
  const std::string id = ids_.at(index);
  upstream(index).Crash();
  restarting_.insert(index);
  soak::After(context_, kRestartTime, [this, index, id] {
    ids_[index] = id;
    restarting_.erase(index);
    StartUpstream(index);
  });
}

void Scenario::KeepAnnouncing(const std::string& id, const std::string& body) {
  Announce(id, body);
  soak::After(context_, kHeartbeatInterval,
              [this, id, body] { KeepAnnouncing(id, body); });
}

void Scenario::Announce(const std::string& id, const std::string& body) {
  net::Request request;
  request.method = "PUT";
  request.target = "/v1/instances/" + id;
  request.fields.set("Host", "control");
  request.body = body;
  const std::string marker = "SEQ";
  request.body.replace(request.body.find(marker), marker.size(),
                       std::to_string(++heartbeats_));
  client_.Send(cluster_.ProxyAddresses(true).front(), request,
               [](unsigned, const net::Fields&, const std::string&) {});
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
