#include "simulated_fleet.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>
#include <variant>

#include "foxquay/schema/codec.h"
#include "samples.h"

namespace foxquay::quarantine {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kRunTime{30};
constexpr seconds kRestartAllAt{12};
constexpr milliseconds kLeaderLossAt{2500};
/// Time in which an upstream reads a prompt, and from the head of an answer to
/// its first event.
constexpr milliseconds kPrefillTime{60};
constexpr milliseconds kFirstEventTime{80};
constexpr milliseconds kAnswerTime{1500};
constexpr seconds kUpstreamRestart{3};
/// Time to find out whether an upstream has crashed.
constexpr milliseconds kCheckTime{3};
constexpr milliseconds kShareInterval{200};
constexpr milliseconds kReviewInterval{100};
constexpr milliseconds kCommitTime{50};
constexpr milliseconds kElectionTime{1000};
constexpr milliseconds kMinPollInterval{250};
constexpr double kMaxPollRate = 160;
constexpr std::size_t kKnownAfterCrashes = 5;
constexpr std::size_t kRequestKnownAfterCrashes = 3;
/// Time after which a caller sends a plain request that failed once more.
constexpr milliseconds kCallerRepeat{200};

/// Time in which hosts reach each other, from the site files.
core::Duration ContactBound(int hosts) {
  return hosts <= 10 ? seconds(3) : hosts <= 100 ? seconds(4) : seconds(5);
}

}  // namespace

SimulatedFleet::SimulatedFleet(const FleetOptions& options)
    : options_(options),
      random_(options.seed),
      upstreams_(static_cast<std::size_t>(options.upstreams)),
      hosts_(static_cast<std::size_t>(options.hosts)),
      controls_(static_cast<std::size_t>(options.controls)) {}

double SimulatedFleet::Draw(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

void SimulatedFleet::After(core::Duration delay, std::function<void()> action) {
  events_.push({now_ + delay, next_event_++, std::move(action)});
}

core::Duration SimulatedFleet::PollInterval() const {
  const std::chrono::duration<double> shared(
      options_.hosts / (kMaxPollRate * options_.controls));
  return std::max<core::Duration>(
      kMinPollInterval, std::chrono::duration_cast<core::Duration>(shared));
}

Parts SimulatedFleet::DrawParts(bool bad, Request& request) {
  if (bad) {
    request.part =
        static_cast<int>(random_() % static_cast<unsigned>(options_.bad_parts));
  }
  if (options_.plain) {
    request.workspace = core::WorkspaceId("w");
    if (bad) return MakeParts({}, "bad-" + std::to_string(request.part));
    return MakeParts({}, Draw(0, 1) < options_.hot_share
                             ? "hot"
                             : std::to_string(requests_.size()));
  }
  std::vector<core::PromptPartId> prompt;
  const int subjects = bad ? options_.bad_subjects : options_.subjects;
  if (subjects > 0) {
    const auto subject = random_() % static_cast<std::uint64_t>(subjects);
    prompt.emplace_back("subject-" + std::to_string(subject));
    request.workspace = core::WorkspaceId("w" + std::to_string(subject % 3));
  }
  if (bad) prompt.emplace_back("bad-" + std::to_string(request.part));
  prompt.emplace_back("own");
  return MakeParts(prompt, std::to_string(requests_.size()));
}

void SimulatedFleet::Arrive(bool bad) {
  const double rate = bad ? options_.bad_rate : options_.sound_rate;
  const std::chrono::duration<double> gap(
      std::exponential_distribution<double>(rate)(random_));
  After(std::chrono::duration_cast<core::Duration>(gap),
        [this, bad] { Arrive(bad); });
  Request request;
  request.bad = bad;
  request.host = random_() % hosts_.size();
  request.parts = DrawParts(bad, request);
  request.caller_repeats = options_.plain;
  request.counted = !bad && now_ - core::Instant{} > kRunTime / 2;
  if (request.counted) ++result_.sound;
  requests_.push_back(std::move(request));
  Send(requests_.size() - 1);
}

void SimulatedFleet::Send(std::size_t index) {
  Request& request = requests_[index];
  Host& host = hosts_[request.host];
  const schema::Quarantine* quarantine =
      host.gate.Find(kService, request.workspace, request.parts);
  const bool refused = options_.policy == Policy::kRoute
                           ? route_refused_
                           : quarantine != nullptr;
  if (refused) {
    if (quarantine != nullptr) host.recorder.RecordRefusal(*quarantine, now_);
    if (!request.bad) ++result_.sound_refused;
    return;
  }
  std::size_t upstream = random_() % upstreams_.size();
  for (int tries = 0; !upstreams_[upstream].alive && tries < 200; ++tries) {
    upstream = random_() % upstreams_.size();
  }
  if (!upstreams_[upstream].alive) return;
  if (request.bad) {
    const std::vector<core::Instant>& crashes = crashes_[request.part];
    const std::size_t known =
        options_.plain ? kRequestKnownAfterCrashes : kKnownAfterCrashes;
    const bool late = crashes.size() >= known &&
                      now_ - crashes[known - 1] > ContactBound(options_.hosts);
    if (late) ++result_.late;
  }
  request.begun = false;
  request.event = false;
  upstreams_[upstream].requests.insert(index);
  const int incarnation = upstreams_[upstream].incarnation;
  if (options_.plain) {
    After(kPrefillTime, [this, index, upstream, incarnation] {
      Answer(index, upstream, incarnation);
    });
    return;
  }
  After(kPrefillTime, [this, index, upstream, incarnation] {
    Begin(index, upstream, incarnation);
  });
}

void SimulatedFleet::Begin(std::size_t index, std::size_t upstream,
                           int incarnation) {
  Upstream& server = upstreams_[upstream];
  if (server.incarnation != incarnation || !server.requests.contains(index)) {
    return;
  }
  requests_[index].begun = true;
  After(kFirstEventTime, [this, index, upstream, incarnation] {
    Answer(index, upstream, incarnation);
  });
}

void SimulatedFleet::Answer(std::size_t index, std::size_t upstream,
                            int incarnation) {
  Upstream& server = upstreams_[upstream];
  if (server.incarnation != incarnation || !server.requests.contains(index)) {
    return;
  }
  Request& request = requests_[index];
  Recorder& recorder = hosts_[request.host].recorder;
  const bool lasts = request.bad && options_.crash_after > core::Duration{};
  if (lasts && !request.event) {
    request.event = true;
    recorder.RecordBegin(kService, request.parts, now_);
    After(options_.crash_after, [this, index, upstream, incarnation] {
      Answer(index, upstream, incarnation);
    });
    return;
  }
  if (request.bad) {
    ++result_.crashes;
    crashes_[request.part].push_back(now_);
    if (result_.crashes >= static_cast<int>(kMinCrashes) &&
        options_.policy == Policy::kRoute) {
      route_refused_ = true;
    }
    End(upstream);
    return;
  }
  request.event = true;
  const bool at_first = request.first_attempt && request.crashes == 0;
  if (request.counted && at_first) ++result_.sound_begun;
  if (options_.plain) {
    recorder.RecordAnswer(kService, request.parts, now_);
    server.requests.erase(index);
    return;
  }
  recorder.RecordBegin(kService, request.parts, now_);
  After(kAnswerTime, [this, index, upstream, incarnation] {
    Upstream& former = upstreams_[upstream];
    const bool complete =
        former.incarnation == incarnation && former.requests.erase(index) > 0;
    if (!complete) return;
    const Request& answered = requests_[index];
    hosts_[answered.host].recorder.RecordAnswer(kService, answered.parts, now_);
  });
}

void SimulatedFleet::End(std::size_t upstream) {
  Upstream& server = upstreams_[upstream];
  if (!server.alive) return;
  server.alive = false;
  const int incarnation = server.incarnation++;
  const std::set<std::size_t> lost = std::exchange(server.requests, {});
  After(kUpstreamRestart,
        [this, upstream] { upstreams_[upstream].alive = true; });
  const core::UpstreamId id("u" + std::to_string(upstream));
  const core::WallTime born{milliseconds(incarnation)};
  for (const std::size_t index : lost) {
    After(kCheckTime, [this, index, id, born] {
      Request& request = requests_[index];
      Recorder& recorder = hosts_[request.host].recorder;
      recorder.RecordCrash(kService, request.workspace, id, born, request.parts,
                           request.event, now_);
      ++request.crashes;
      Repeat(index);
    });
  }
}

void SimulatedFleet::Resume(std::size_t index) {
  Request& request = requests_[index];
  if (request.crashes < static_cast<int>(kMinCrashes)) {
    Send(index);
  } else if (!request.bad) {
    ++result_.sound_cut;
  }
}

void SimulatedFleet::Repeat(std::size_t index) {
  Request& request = requests_[index];
  if (request.event) {
    Resume(index);
    return;
  }
  const Recorder& recorder = hosts_[request.host].recorder;
  const bool repeat = options_.policy == Policy::kNone ||
                      recorder.Trusts(kService, request.parts, now_);
  if (repeat && std::exchange(request.first_attempt, false)) {
    Send(index);
    return;
  }
  if (!std::exchange(request.caller_repeats, false)) return;
  After(kCallerRepeat, [this, index] {
    requests_[index].host = random_() % hosts_.size();
    requests_[index].first_attempt = true;
    Send(index);
  });
}

void SimulatedFleet::Poll(std::size_t index) {
  After(PollInterval(), [this, index] { Poll(index); });
  Host& host = hosts_[index];
  schema::QuarantineReport report = host.recorder.Report(now_);
  for (auto& crash : report.crashes) {
    crash.host = core::HostId("h" + std::to_string(index));
    crash.incarnation = host.incarnation;
  }
  if (!report.crashes.empty() || !report.answered.empty()) {
    result_.report_bytes += schema::Encode(report).size();
  }
  After(milliseconds(1), [this, index, report = std::move(report)] {
    std::size_t parent = index % controls_.size();
    if (options_.lose_leader && parent == 0 && leader_ != 0) parent = 1;
    Control& control = controls_[parent];
    control.detector.Record(report, now_);
    control.news.Add(report, now_);
    Host& asking = hosts_[index];
    asking.recorder.SetWatched(control.detector.Watched(control.table), now_);
    if (asking.version == control.table.version) return;
    asking.version = control.table.version;
    asking.gate.SetTable(control.table,
                         core::HostId("h" + std::to_string(index)),
                         asking.incarnation);
  });
}

void SimulatedFleet::Share(std::size_t index) {
  After(kShareInterval, [this, index] { Share(index); });
  const schema::QuarantineReport news = controls_[index].news.Take(now_);
  if (!news.crashes.empty() || !news.answered.empty()) {
    result_.report_bytes +=
        schema::Encode(news).size() * (controls_.size() - 1);
  }
  After(milliseconds(1), [this, index, news] {
    for (std::size_t other = 0; other < controls_.size(); ++other) {
      if (other != index) controls_[other].detector.Record(news, now_);
    }
  });
}

void SimulatedFleet::Review() {
  After(kReviewInterval, [this] { Review(); });
  const core::Duration settle =
      std::max<core::Duration>(seconds(1), PollInterval() * 3);
  const auto change =
      controls_[leader_].detector.Review(table_.content(), settle, now_);
  if (!change) return;
  After(kCommitTime, [this, change] {
    std::visit([this](const auto& command) { table_.Apply(command); }, *change);
    for (Control& control : controls_) control.table = table_.content();
  });
}

void SimulatedFleet::ReviewAlone(std::size_t index) {
  After(kReviewInterval, [this, index] { ReviewAlone(index); });
  Host& host = hosts_[index];
  host.detector.Record(host.recorder.Report(now_), now_);
  host.recorder.SetWatched(host.detector.Watched(host.table.content()), now_);
  const auto change =
      host.detector.Review(host.table.content(), seconds(1), now_);
  if (!change) return;
  std::visit([&host](const auto& command) { host.table.Apply(command); },
             *change);
  host.gate.SetTable(host.table.content(), core::HostId("h"), 1);
}

void SimulatedFleet::RestartAll() {
  for (Host& host : hosts_) {
    const std::uint64_t incarnation = host.incarnation + 1;
    host = Host();
    host.incarnation = incarnation;
  }
  // The committed table survives, the evidence does not.
  for (Control& control : controls_) {
    control = Control();
    control.table = table_.content();
  }
}

FleetResult SimulatedFleet::Run() {
  Arrive(false);
  After(seconds(1), [this] { Arrive(true); });
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    const std::chrono::duration<double> phase(Draw(0, 0.25));
    const auto start = std::chrono::duration_cast<core::Duration>(phase);
    if (options_.policy == Policy::kAlone) {
      After(start, [this, host] { ReviewAlone(host); });
    } else if (options_.policy == Policy::kFleet) {
      After(start, [this, host] { Poll(host); });
    }
  }
  if (options_.policy == Policy::kFleet) {
    for (std::size_t control = 0; control < controls_.size(); ++control) {
      After(milliseconds(20 * control), [this, control] { Share(control); });
    }
    Review();
  }
  if (options_.restart_all) After(kRestartAllAt, [this] { RestartAll(); });
  if (options_.lose_leader) {
    After(kLeaderLossAt + kElectionTime, [this] { leader_ = 1; });
  }
  std::function<void()> kill = [this, &kill] {
    const std::chrono::duration<double> gap(
        std::exponential_distribution<double>(options_.kills_per_second)(
            random_));
    After(std::chrono::duration_cast<core::Duration>(gap), kill);
    End(random_() % upstreams_.size());
  };
  if (options_.kills_per_second > 0) kill();
  std::function<void()> lose_rack = [this, &lose_rack] {
    After(std::chrono::duration_cast<core::Duration>(
              std::chrono::duration<double>(options_.rack_loss_interval)),
          lose_rack);
    for (std::size_t each = 0; each < upstreams_.size(); ++each) End(each);
  };
  if (options_.rack_loss_interval > 0) After(seconds(5), lose_rack);
  while (events_.top().at - core::Instant{} < kRunTime) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  result_.quarantines = table_.content().entries.size();
  return result_;
}

}  // namespace foxquay::quarantine
