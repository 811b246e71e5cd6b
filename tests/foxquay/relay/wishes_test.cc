#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "foxquay/relay/relay.h"

namespace foxquay::relay {
namespace {

using std::chrono::milliseconds;

constexpr int kRunMs = 12000;
constexpr int kStepMs = 25;
/// Time of an answer, and how late hosts learn of a restart.
constexpr int kAnswerMs = 50;
constexpr int kAnnounceMs = 300;
/// Bounds of the site files and of the rules.
constexpr int kDrainMs = 2000;
constexpr int kGraceMs = 500;
constexpr int kMaxInPause = 2;

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

/// An upstream that at times leaves, restarts or asks for a pause.
struct Upstream {
  std::string id;
  std::string address;
  int born = 0;
  bool leaving = false;
  int declines_until = 0;  ///< Answers 503 before.
  /// By host: when it passed on that the upstream leaves, and pauses that it
  /// was asked for.
  std::map<int, int> told_leaving;
  std::map<int, std::vector<std::pair<int, int>>> pauses;
  std::map<int, std::vector<int>> arrivals;
};

/// Hosts with a relay each, and upstreams of a plain service, in steps of time.
class SimulatedHosts {
 public:
  SimulatedHosts(int hosts, std::uint64_t seed) : random_(seed), upstreams_(5) {
    schema::Fleet fleet;
    fleet.services.push_back({core::ServiceId("app"), 100, std::nullopt});
    schema::Route route;
    route.host = "h";
    route.path_prefix = "/";
    route.kind = schema::RequestKind::kRepeatable;
    route.max_attempts = 2;
    route.timeout = milliseconds(2000);
    route.target_latency = milliseconds(300);
    route.services.push_back({core::ServiceId("app"), 1});
    fleet.routes.push_back(route);
    table_ = std::make_shared<const fleet::Table>(fleet);
    for (int index = 0; index < 5; ++index) {
      Restart(index, 0);
    }
    for (int host = 0; host < hosts; ++host) {
      relays_.emplace_back(BudgetOptions{0.2, 200, std::chrono::seconds(10)},
                           seed + static_cast<std::uint64_t>(host));
      relays_.back().SetHosts(static_cast<std::size_t>(hosts), At(0));
    }
  }

  void Run() {
    for (now_ = 0; now_ < kRunMs; now_ += kStepMs) {
      Disturb();
      if (now_ % kAnnounceMs == 0) Announce();
      Finish();
      for (std::size_t host = 0; host < relays_.size(); ++host) {
        for (const auto& [id, decision] : relays_[host].Review(At(now_))) {
          Carry(host, id, decision);
        }
        if (Chance(0.5)) Arrive(host);
      }
    }
  }

  [[nodiscard]] int sent() const { return sent_; }
  /// Returns the sends to upstreams later than the drain bound after the host
  /// has passed on that they leave.
  [[nodiscard]] int late_sends() const { return late_sends_; }
  /// Returns the pauses in which an upstream got more than it may.
  [[nodiscard]] int disturbed_pauses() const {
    int disturbed = disturbed_;
    for (const Upstream& upstream : upstreams_) disturbed += Count(upstream);
    return disturbed;
  }

 private:
  struct Open {
    std::size_t host;
    core::RequestId id;
    std::size_t upstream;
    int born;
  };

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>()(random_) < probability;
  }

  static int Count(const Upstream& upstream) {
    int disturbed = 0;
    for (const auto& [host, pauses] : upstream.pauses) {
      const auto arrivals = upstream.arrivals.find(host);
      if (arrivals == upstream.arrivals.end()) continue;
      for (const auto& [from, until] : pauses) {
        int count = 0;
        for (const int at : arrivals->second) {
          if (at > from + kGraceMs && at < until) ++count;
        }
        if (count > kMaxInPause) ++disturbed;
      }
    }
    return disturbed;
  }

  void Restart(int index, int now) {
    Upstream& upstream = upstreams_[static_cast<std::size_t>(index)];
    disturbed_ += Count(upstream);
    const std::string address = "10.0.0." + std::to_string(index) + ":1";
    // Half of them keep their id.
    const bool same = !upstream.id.empty() && Chance(0.5);
    const std::string id =
        same ? upstream.id : "u" + std::to_string(++incarnations_);
    upstream = Upstream();
    upstream.id = id;
    upstream.address = address;
    upstream.born = now + 1;
  }

  void Disturb() {
    for (int index = 0; index < 5; ++index) {
      Upstream& upstream = upstreams_[static_cast<std::size_t>(index)];
      if (Chance(0.004)) upstream.leaving = true;
      if (Chance(0.006)) {
        upstream.declines_until =
            now_ + std::uniform_int_distribution<int>(300, 2500)(random_);
      }
      if (upstream.leaving && Chance(0.005)) Restart(index, now_);
    }
  }

  void Announce() {
    std::vector<schema::Announcement> announcements;
    for (const Upstream& upstream : upstreams_) {
      schema::Announcement announcement;
      announcement.id = core::UpstreamId(upstream.id);
      announcement.address = upstream.address;
      announcement.kind = "service";
      announcement.service = core::ServiceId("app");
      announcement.slots = 6;
      announcement.born = core::WallTime(milliseconds(upstream.born));
      announcements.push_back(announcement);
    }
    for (Relay& relay : relays_) relay.upstreams().Set(announcements, At(now_));
  }

  void Arrive(std::size_t host) {
    RequestContext context;
    context.table = table_;
    context.route = &table_->fleet().routes.front();
    context.service = &table_->fleet().services.front();
    context.arrived = At(now_);
    context.deadline = At(now_ + 2000);
    const core::RequestId id(++next_id_);
    Carry(host, id, relays_[host].Arrive(id, std::move(context), At(now_)));
  }

  void Carry(std::size_t host, core::RequestId id, const Decision& decision) {
    const auto* send = std::get_if<Send>(&decision);
    if (send == nullptr) return;
    for (std::size_t index = 0; index < upstreams_.size(); ++index) {
      Upstream& upstream = upstreams_[index];
      if (upstream.address != send->hops.front().address) continue;
      const int by = static_cast<int>(host);
      // A request for another incarnation is rejected and does not count.
      if (upstream.id == send->hops.front().upstream.value()) {
        ++sent_;
        upstream.arrivals[by].push_back(now_);
        const auto told = upstream.told_leaving.find(by);
        if (told != upstream.told_leaving.end() &&
            now_ > told->second + kDrainMs) {
          ++late_sends_;
        }
      }
      open_[now_ + kAnswerMs].push_back({host, id, index, upstream.born});
    }
  }

  void Finish() {
    const auto due = open_.extract(now_);
    if (due.empty()) return;
    for (const Open& open : due.mapped()) {
      Relay& relay = relays_[open.host];
      if (!relay.Contains(open.id)) continue;
      Upstream& upstream = upstreams_[open.upstream];
      if (upstream.born != open.born) {
        Carry(open.host, open.id,
              relay.HandleLoss(open.id, {LossKind::kUnanswered, ""}, At(now_)));
        continue;
      }
      const int by = static_cast<int>(open.host);
      const bool declines = now_ < upstream.declines_until;
      std::optional<core::Duration> pause;
      if (declines) pause = milliseconds(upstream.declines_until - now_);
      (void)relay.RecordWish(core::UpstreamId(upstream.id), upstream.leaving,
                             pause, At(now_));
      if (upstream.leaving) upstream.told_leaving.try_emplace(by, now_);
      if (declines) {
        upstream.pauses[by].emplace_back(now_, upstream.declines_until);
        Carry(open.host, open.id,
              relay.HandleLoss(open.id, {LossKind::kNotRun, ""}, At(now_)));
      } else {
        relay.Complete(open.id, At(now_));
      }
    }
  }

  std::mt19937_64 random_;
  std::shared_ptr<const fleet::Table> table_;
  std::vector<Upstream> upstreams_;
  std::vector<Relay> relays_;
  std::map<int, std::vector<Open>> open_;
  int now_ = 0;
  int incarnations_ = 0;
  std::uint64_t next_id_ = 0;
  int sent_ = 0;
  int late_sends_ = 0;
  int disturbed_ = 0;
};

}  // namespace

TEST_CASE("hosts leave upstreams alone that leave or ask for a pause") {
  for (const int hosts : {8, 60, 300}) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      CAPTURE(hosts, seed);
      SimulatedHosts simulated(hosts, seed);
      simulated.Run();
      CHECK(simulated.sent() > 10 * hosts);
      CHECK(simulated.late_sends() == 0);
      CHECK(simulated.disturbed_pauses() == 0);
    }
  }
}

}  // namespace foxquay::relay
