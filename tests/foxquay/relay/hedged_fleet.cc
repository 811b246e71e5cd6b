#include "hedged_fleet.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "foxquay/relay/relay.h"

namespace foxquay::relay {
namespace {

constexpr int kUpstreams = 3;
constexpr int kReview = 25;       // As gateway::kReviewInterval, in ms.
constexpr int kFixedDelay = 100;  // In ms.
constexpr std::uint64_t kSeed = 20261206;

core::Instant At(int ms) {
  return core::Instant(std::chrono::milliseconds(ms));
}

std::shared_ptr<const fleet::Table> MakeTable() {
  schema::Fleet fleet;
  fleet.version = 1;
  fleet.services.push_back({core::ServiceId("app"), 100, std::nullopt});
  schema::Route route;
  route.host = "h";
  route.path_prefix = "/";
  route.kind = schema::RequestKind::kRepeatable;
  route.max_attempts = 2;
  route.timeout = std::chrono::seconds(4);
  route.target_latency = std::chrono::milliseconds(300);
  route.services.push_back({core::ServiceId("app"), 1});
  fleet.routes.push_back(route);
  return std::make_shared<const fleet::Table>(fleet);
}

class Fleet {
 public:
  explicit Fleet(const HedgeScenario& scenario)
      : scenario_(scenario), random_(kSeed) {
    std::vector<schema::Announcement> upstreams;
    for (int index = 0; index < kUpstreams; ++index) {
      schema::Announcement upstream;
      upstream.id = core::UpstreamId(std::to_string(index));
      upstream.address = std::to_string(index) + ":1";
      upstream.kind = "service";
      upstream.service = core::ServiceId("app");
      upstream.slots = static_cast<std::uint32_t>(scenario.slots);
      upstreams.push_back(upstream);
    }
    const BudgetOptions budget{0.2, 200, std::chrono::seconds(10)};
    for (int host = 0; host < scenario.hosts; ++host) {
      Relay& relay = hosts_.emplace_back(budget, kSeed + host);
      relay.SetHosts(static_cast<std::size_t>(scenario.hosts), At(0));
      relay.SetUpstreams(upstreams, At(0));
      if (scenario.mode == HedgeMode::kHedged) {
        relay.SetHedging({scenario.ratio});
      }
    }
    alive_.assign(hosts_.size(), true);
    sent_by_host_.resize(hosts_.size());
    outcome_.hedges_to.resize(kUpstreams);
  }

  HedgeOutcome Run() {
    std::exponential_distribution<double> gap(scenario_.per_host *
                                              scenario_.hosts / 1000);
    double next_arrival = gap(random_);
    for (int now = 0; now < kHedgeEnd + 5000; ++now) {
      if (scenario_.hosts_lost_at == now) LoseHosts();
      while (next_arrival <= now) {
        if (now < kHedgeEnd) Arrive(now);
        next_arrival += gap(random_);
      }
      while (!events_.empty() && std::get<0>(events_.top()) <= now) {
        const auto [ms, id, copy] = events_.top();
        events_.pop();
        Handle(id, copy, now);
      }
      if (now % kReview == 0) Review(now);
    }
    std::sort(outcome_.waits.begin(), outcome_.waits.end());
    const auto most = std::max_element(
        sent_by_host_.begin(), sent_by_host_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    outcome_.most_of_host = {most->first, most->second};
    return std::move(outcome_);
  }

 private:
  struct Open {
    std::size_t host = 0;
    int arrived = 0;
    int first = 0;               // Upstream of the first send.
    std::optional<int> second;   // Upstream of the second send.
    std::array<bool, 2> lost{};  // Sends that ended without an answer.
  };
  enum Event { kFirst, kSecond, kTimer };

  int Target(const Send& send) const {
    return std::stoi(send.hops.front().upstream.value());
  }

  void LoseHosts() {
    for (std::size_t host = 0; host < hosts_.size(); host += 2) {
      alive_[host] = false;
      std::erase_if(
          open_, [host](const auto& item) { return item.second.host == host; });
    }
  }

  void Arrive(int now) {
    std::uniform_int_distribution<std::size_t> pick(0, hosts_.size() - 1);
    std::size_t host = pick(random_);
    while (!alive_[host]) host = pick(random_);
    const core::RequestId id(next_id_++);
    RequestContext context;
    context.table = table_;
    context.route = &table_->fleet().routes.front();
    context.service = &table_->fleet().services.front();
    context.arrived = At(now);
    context.deadline = At(now) + context.route->timeout;
    outcome_.requests.push_back(now);
    ++sent_by_host_[host].first;
    open_[id] = {host, now, 0, {}, {}};
    Apply(id, hosts_[host].Arrive(id, context, At(now)), now);
  }

  void Apply(core::RequestId id, const Decision& decision, int now) {
    if (const auto* send = std::get_if<Send>(&decision)) {
      Open& open = open_.at(id);
      open.first = Target(*send);
      open.lost[kFirst] = false;
      Start(id, kFirst, open.first, now);
      if (scenario_.mode == HedgeMode::kFixedDelay && !open.second) {
        events_.emplace(now + kFixedDelay, id, kTimer);
      }
    } else if (!std::holds_alternative<Hold>(decision)) {
      open_.erase(id);
      ++outcome_.failed;
    }
  }

  void Start(core::RequestId id, Event copy, int upstream, int now) {
    if (scenario_.sheds(upstream, now)) {
      events_.emplace(now + 1, id, copy);
      shed_.insert({id, copy});
      return;
    }
    std::exponential_distribution<double> tail(1.0 / 5);
    const double time =
        (20 + tail(random_)) * scenario_.slowness(upstream, now);
    events_.emplace(now + static_cast<int>(time), id, copy);
  }

  void SendSecond(core::RequestId id, int upstream, int now) {
    Open& open = open_.at(id);
    open.second = upstream;
    ++sent_by_host_[open.host].second;
    ++outcome_.hedges_to[static_cast<std::size_t>(upstream)];
    outcome_.hedges.push_back(now);
    Start(id, kSecond, upstream, now);
  }

  void Handle(core::RequestId id, Event event, int now) {
    const auto found = open_.find(id);
    if (found == open_.end()) return;
    if (event == kTimer) {
      const int other = 1 + static_cast<int>(random_() % (kUpstreams - 1));
      SendSecond(id, (found->second.first + other) % kUpstreams, now);
    } else if (shed_.erase({id, event}) > 0) {
      HandleShed(id, event, now);
    } else {
      HandleAnswer(id, event, now);
    }
  }

  void HandleShed(core::RequestId id, Event event, int now) {
    Open& open = open_.at(id);
    open.lost[event] = true;
    const Loss loss{LossKind::kNotRun, "", false};
    Relay& relay = hosts_[open.host];
    if (event == kSecond) ++outcome_.shed;
    const bool hedged = scenario_.mode == HedgeMode::kHedged;
    if (open.second && !open.lost[1 - event]) {
      const Copy lost = event == kFirst ? Copy::kFirst : Copy::kHedge;
      if (hedged) (void)relay.LoseCopy(id, lost, loss, At(now));
      return;
    }
    Apply(id, relay.HandleLoss(id, loss, At(now)), now);
  }

  void HandleAnswer(core::RequestId id, Event event, int now) {
    const Open open = open_.extract(id).mapped();
    Relay& relay = hosts_[open.host];
    const bool both = open.second && !open.lost[kFirst] && !open.lost[kSecond];
    if (scenario_.mode == HedgeMode::kHedged && both) {
      if (event == kSecond) {
        relay.WinHedge(id, At(now));
      } else {
        relay.DropHedge(id, At(now));
      }
    }
    if (event == kFirst) {
      relay.RecordLatency(id, At(now) - At(open.arrived), At(now));
    }
    relay.Complete(id, At(now));
    if (open.arrived >= kHedgeWarmUp) {
      outcome_.waits.push_back(now - open.arrived);
    }
  }

  void Review(int now) {
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      if (!alive_[host]) continue;
      for (const auto& [id, decision] : hosts_[host].Review(At(now))) {
        Apply(id, decision, now);
      }
      for (const auto& [id, decision] : hosts_[host].DueHedges(At(now))) {
        const auto* send = std::get_if<Send>(&decision);
        if (send != nullptr) SendSecond(id, Target(*send), now);
      }
    }
  }

  const HedgeScenario& scenario_;
  const std::shared_ptr<const fleet::Table> table_ = MakeTable();
  std::mt19937_64 random_;
  std::vector<Relay> hosts_;
  std::vector<bool> alive_;
  std::vector<std::pair<int, int>> sent_by_host_;
  std::map<core::RequestId, Open> open_;
  std::set<std::pair<core::RequestId, int>> shed_;
  using Item = std::tuple<int, core::RequestId, Event>;
  std::priority_queue<Item, std::vector<Item>, std::greater<>> events_;
  std::uint64_t next_id_ = 1;
  HedgeOutcome outcome_;
};

}  // namespace

int HedgeOutcome::Quantile(double fraction) const {
  const auto rank =
      static_cast<std::size_t>(fraction * static_cast<double>(waits.size()));
  return waits.at(std::min(rank, waits.size() - 1));
}

double HedgeOutcome::MostBeyond(double ratio) const {
  const auto in = [](const std::vector<int>& times, int from) {
    return static_cast<double>(
        std::lower_bound(times.begin(), times.end(), from + 10'000) -
        std::lower_bound(times.begin(), times.end(), from));
  };
  double most = 0;
  for (int from = -10'000; from < kHedgeEnd; from += 250) {
    most = std::max(most, in(hedges, from) - ratio * in(requests, from));
  }
  return most;
}

HedgeOutcome Play(const HedgeScenario& scenario) {
  return Fleet(scenario).Run();
}

}  // namespace foxquay::relay
