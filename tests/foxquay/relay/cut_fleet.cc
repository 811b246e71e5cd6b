#include "cut_fleet.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

namespace foxquay::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kCutBegin{5};
constexpr seconds kCutEnd{17};
constexpr seconds kEnd{25};
/// Bound of the site files within which a fault has to be dealt with.
constexpr seconds kContactBound{3};
constexpr milliseconds kServiceTime{60};
constexpr milliseconds kRoundTrip{1};
constexpr milliseconds kConnectTimeout{400};
constexpr milliseconds kReviewInterval{50};
/// Interval of reports, and until the states of hosts have reached all others.
constexpr milliseconds kReportInterval{500};
constexpr milliseconds kDirectoryTtl{5000};
constexpr std::size_t kCallers = 200;
const core::ServiceId kService("app");

core::HostId HostName(std::size_t host) {
  return core::HostId("h" + std::to_string(host));
}

std::shared_ptr<const fleet::Table> MakeTable() {
  schema::Fleet fleet;
  fleet.version = 1;
  fleet.services.push_back({kService, 100, std::nullopt});
  schema::Route route;
  route.host = "h";
  route.path_prefix = "/";
  route.kind = schema::RequestKind::kRepeatable;
  route.max_attempts = 2;
  route.timeout = milliseconds(1500);
  route.target_latency = milliseconds(300);
  route.services.push_back({kService, 1});
  fleet.routes.push_back(route);
  return std::make_shared<const fleet::Table>(fleet);
}

}  // namespace

CutFleet::CutFleet(const CutFleetOptions& options)
    : options_(options), random_(options.seed), table_(MakeTable()) {
  std::vector<schema::Announcement> upstreams;
  for (std::size_t index = 0; index < options.upstreams; ++index) {
    schema::Announcement announcement;
    announcement.id = core::UpstreamId("u" + std::to_string(index));
    announcement.address = "u" + std::to_string(index) + ":1";
    announcement.kind = "service";
    announcement.service = kService;
    announcement.slots = 64;
    upstreams.push_back(std::move(announcement));
  }
  for (std::size_t host = 0; host < options.hosts; ++host) {
    hosts_.emplace_back(BudgetOptions{0.2, 200, seconds(10)}, random_());
    hosts_.back().SetHosts(options.hosts, now_);
    hosts_.back().SetUpstreams(upstreams, now_);
  }
  UpdateDirectory();
  callers_.assign(kCallers, directory_);
}

void CutFleet::After(core::Duration delay, std::function<void()> action) {
  events_.push({now_ + delay, next_event_++, std::move(action)});
}

bool CutFleet::InCut() const {
  const core::Duration time = now_ - core::Instant{};
  return time >= kCutBegin && time < kCutEnd;
}

bool CutFleet::Reaches(std::size_t host) const {
  if (!InCut()) return true;
  return !options_.all_end && host >= options_.cut;
}

void CutFleet::UpdateDirectory() {
  std::vector<std::size_t> reaching;
  std::vector<Partner> partners;
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    if (hosts_[host].CutOff()) continue;
    reaching.push_back(host);
    partners.push_back({HostName(host), std::to_string(host)});
  }
  directory_.clear();
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    directory_.push_back(host);
  }
  const bool directed = options_.policy != CutPolicy::kNone;
  if (directed && !reaching.empty()) directory_ = reaching;
  if (options_.policy != CutPolicy::kRelay) return;
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    hosts_[host].partners().Set(HostName(host), partners);
  }
}

void CutFleet::Arrive() {
  const std::chrono::duration<double> gap(
      std::exponential_distribution<double>(options_.rate)(random_));
  After(std::chrono::duration_cast<core::Duration>(gap), [this] { Arrive(); });
  const std::vector<std::size_t>& known = callers_[random_() % kCallers];
  const std::size_t host = known[random_() % known.size()];
  const core::Duration time = now_ - core::Instant{};
  const bool counted = time >= kCutBegin + kContactBound && time < kCutEnd;
  const bool cut = host < options_.cut;
  if (counted) ++(cut ? result_.sent_at_cut : result_.sent_at_others);
  if (cut && time >= kCutEnd + seconds(1)) ++result_.sent_after;
  Start(Add(host, requests_.size()), false, 0);
}

std::size_t CutFleet::Add(std::size_t host, std::size_t origin) {
  const std::size_t index = requests_.size();
  requests_.push_back({host, origin, core::RequestId(index + 1), now_});
  by_id_[{host, requests_.back().id}] = index;
  return index;
}

void CutFleet::Start(std::size_t index, bool relayed, unsigned prior_sends) {
  const Request& request = requests_[index];
  RequestContext context;
  context.name = std::to_string(index);
  context.table = table_;
  context.route = &table_->fleet().routes.front();
  context.service = &table_->fleet().services.front();
  context.arrived = now_;
  context.deadline = requests_[request.origin].arrived + context.route->timeout;
  context.relayed = relayed;
  context.prior_sends = prior_sends;
  Perform(index, hosts_[request.host].Arrive(request.id, context, now_));
}

void CutFleet::Perform(std::size_t index, const Decision& decision) {
  if (const auto* send = std::get_if<Send>(&decision)) {
    send->to_partner ? Relayed(index, *send) : SendTo(index);
  } else if (!std::holds_alternative<Hold>(decision)) {
    End(index, false);
  }
}

void CutFleet::SendTo(std::size_t index) {
  const std::size_t host = requests_[index].host;
  if (!Reaches(host)) {
    After(options_.hang ? kConnectTimeout : kRoundTrip, [this, index, host] {
      if (requests_[index].ended) return;
      Perform(index, hosts_[host].HandleLoss(requests_[index].id,
                                             {LossKind::kNotSent, ""}, now_));
      Inquire(host);
    });
    return;
  }
  After(kServiceTime, [this, index, host] {
    if (requests_[index].ended) return;
    hosts_[host].Complete(requests_[index].id, now_);
    End(index, true);
  });
}

void CutFleet::Relayed(std::size_t index, const Send& send) {
  if (InCut()) ++result_.relayed;
  const std::size_t partner = std::stoul(send.hops.front().address);
  After(kRoundTrip, [this, index, partner, prior = send.prior_sends] {
    if (requests_[index].ended) return;
    const std::size_t inner = Add(partner, requests_[index].origin);
    parents_[inner] = index;
    Start(inner, true, prior);
  });
}

void CutFleet::End(std::size_t index, bool served) {
  Request& request = requests_[index];
  if (std::exchange(request.ended, true)) return;
  by_id_.erase({request.host, request.id});
  const auto parent = parents_.find(index);
  if (parent != parents_.end()) {
    const std::size_t outer = parent->second;
    if (requests_[outer].ended) return;
    Relay& relay = hosts_[requests_[outer].host];
    if (served) {
      relay.Complete(requests_[outer].id, now_);
    } else {
      relay.Abandon(requests_[outer].id);
    }
    End(outer, served);
    return;
  }
  if (!served) return;
  const core::Duration time = request.arrived - core::Instant{};
  const bool cut = request.host < options_.cut;
  if (time >= kCutBegin + kContactBound && time < kCutEnd) {
    ++(cut ? result_.served_at_cut : result_.served_at_others);
    if (cut) total_added_ += now_ - request.arrived - kServiceTime;
  }
  if (cut && time >= kCutEnd + seconds(1)) ++result_.served_after;
}

void CutFleet::Inquire(std::size_t host) {
  for (const Hop& hop : hosts_[host].DueInquiries(now_)) {
    const bool reached = Reaches(host);
    const bool hangs = !reached && options_.hang;
    After(hangs ? kConnectTimeout : kRoundTrip,
          [this, host, reached, upstream = hop.upstream] {
            hosts_[host].RecordInquiry(upstream, reached, now_);
            Inquire(host);
          });
  }
}

void CutFleet::Review(std::size_t host) {
  After(kReviewInterval, [this, host] { Review(host); });
  const auto decisions = hosts_[host].Review(now_);
  for (const auto& [id, decision] : decisions) {
    const auto found = by_id_.find({host, id});
    if (found != by_id_.end()) Perform(found->second, decision);
  }
  Inquire(host);
  if (Reaches(host) && InCut() && hosts_[host].CutOff()) ++result_.false_cuts;
}

CutFleetResult CutFleet::Run() {
  Arrive();
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    After(milliseconds(random_() % kReviewInterval.count()),
          [this, host] { Review(host); });
  }
  std::function<void()> report = [this, &report] {
    After(kReportInterval, report);
    UpdateDirectory();
  };
  report();
  std::function<void()> refresh = [this, &refresh] {
    After(kDirectoryTtl / kCallers, refresh);
    const auto step = (now_ - core::Instant{}) / (kDirectoryTtl / kCallers);
    callers_[static_cast<std::size_t>(step) % kCallers] = directory_;
  };
  refresh();
  while (events_.top().at - core::Instant{} < kEnd) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  if (result_.served_at_cut > 0) {
    result_.added_time =
        total_added_ / static_cast<std::int64_t>(result_.served_at_cut);
  }
  return result_;
}

}  // namespace foxquay::relay
