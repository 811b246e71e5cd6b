#include "simulation.h"

#include <algorithm>
#include <chrono>

#include "foxquay/scheduling/service_estimator.h"

namespace foxquay::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Instant kStart{seconds(1000)};
// Interval of announcements; the loads that engines know are up to this old.
constexpr core::Duration kAnnounceInterval = milliseconds(600);
constexpr core::Duration kSampleInterval = milliseconds(100);
constexpr int kSlowFactor = 10;
constexpr core::Duration kNoDeadline = std::chrono::hours(1);
// A leg key holds the index of the engine in the bits above this.
constexpr int kEngineShift = 48;

std::uint64_t LegKey(std::size_t engine, core::LegId leg) {
  return (static_cast<std::uint64_t>(engine) << kEngineShift) | leg.value();
}

std::string UpstreamName(std::size_t upstream) {
  return "u" + std::to_string(upstream);
}

dispatch::PolicyChanged MakePolicy(const Setup& setup) {
  dispatch::PolicyChanged changed;
  for (const auto& spec : schema::kPolicySpecs) {
    changed.defaults.push_back(spec.initial);
  }
  for (const auto& [key, value] : setup.policy) {
    changed.defaults[static_cast<std::size_t>(key)] = value;
  }
  return changed;
}

}  // namespace

Simulation::Simulation(Setup setup, std::vector<Arrival> arrivals)
    : setup_(std::move(setup)),
      arrivals_(std::move(arrivals)),
      now_(kStart),
      end_(kStart + setup_.duration),
      next_tick_(setup_.engines, core::Instant::max()),
      upstreams_(setup_.upstreams),
      last_token_(arrivals_.size()) {
  report_.results.resize(arrivals_.size());
}

Report Simulation::Run() {
  for (std::size_t i = 0; i < setup_.engines; ++i) {
    engines_.push_back(
        std::make_unique<dispatch::Engine>(dispatch::EngineOptions{
            core::HostId("h" + std::to_string(i)),
            core::DataCentreId("welshpool"), setup_.seed + i}));
    Handle(i, MakePolicy(setup_));
  }
  Announce();
  SampleLoads();
  for (const Fault& fault : setup_.faults) {
    Schedule(kStart + fault.at, [this, &fault] { ApplyFault(fault, true); });
    Schedule(kStart + fault.until,
             [this, &fault] { ApplyFault(fault, false); });
  }
  for (std::size_t i = 0; i < arrivals_.size(); ++i) {
    Schedule(kStart + arrivals_[i].at, [this, i] { Arrive(i); });
  }
  while (!schedule_.empty() && schedule_.top().at < end_) {
    const ScheduledStep scheduled = schedule_.top();
    schedule_.pop();
    now_ = scheduled.at;
    scheduled.step();
  }
  for (const auto& [key, leg] : legs_) {
    if (leg.has_slot) report_.busy += end_ - leg.slot_since;
  }
  return std::move(report_);
}

void Simulation::Schedule(core::Instant at, Step step) {
  schedule_.push({at, next_number_++, std::move(step)});
}

void Simulation::Handle(std::size_t engine, const dispatch::Event& event) {
  for (const auto& action : engines_[engine]->Handle(event, now_)) {
    Perform(engine, action);
  }
  ScheduleTick(engine);
}

void Simulation::ScheduleTick(std::size_t engine) {
  const auto due = engines_[engine]->NextDeadline();
  if (!due || *due >= next_tick_[engine]) return;
  next_tick_[engine] = *due;
  Schedule(std::max(*due, now_), [this, engine] {
    next_tick_[engine] = core::Instant::max();
    Handle(engine, dispatch::Tick{});
  });
}

void Simulation::Perform(std::size_t engine, const dispatch::Action& action) {
  if (const auto* start = std::get_if<dispatch::StartLeg>(&action)) {
    Start(engine, *start);
  } else if (const auto* cancel = std::get_if<dispatch::CancelLeg>(&action)) {
    const std::uint64_t key = LegKey(engine, cancel->leg);
    Schedule(now_, [this, key] { End(key, dispatch::LegEnd::kCanceled); });
  } else if (const auto* token = std::get_if<dispatch::DeliverToken>(&action)) {
    const std::size_t index = token->request.value() - 1;
    Result& result = report_.results[index];
    if (!result.first_token) {
      result.first_token = now_ - kStart - arrivals_[index].at;
    } else {
      result.longest_gap =
          std::max(result.longest_gap, now_ - last_token_[index]);
    }
    if (result.hit_by_fault && !result.resume_gap &&
        last_token_[index] > kStart) {
      result.resume_gap = now_ - last_token_[index];
    }
    last_token_[index] = now_;
  } else if (const auto* finish = std::get_if<dispatch::Finish>(&action)) {
    Result& result = report_.results[finish->request.value() - 1];
    result.finished = now_ - kStart;
    result.outcome = finish->outcome;
    result.retry_after = finish->retry_after;
  }
}

void Simulation::Arrive(std::size_t index) {
  const Arrival& arrival = arrivals_[index];
  const std::size_t engine = index % setup_.engines;
  dispatch::Submission submission;
  submission.id = core::RequestId(index + 1);
  submission.workspace =
      core::WorkspaceId(setup_.one_flow ? "all" : arrival.workspace);
  if (!setup_.one_flow) submission.traffic_class = arrival.traffic_class;
  submission.timeout = setup_.deadlines ? arrival.timeout : kNoDeadline;
  submission.work = dispatch::Completion{core::ModelId("drafter"), "", "",
                                         std::string(arrival.prompt_bytes, 'x'),
                                         arrival.max_tokens};
  Handle(engine, dispatch::Arrived{std::move(submission)});
  if (setup_.deadlines) return;
  Schedule(now_ + arrival.timeout, [this, engine, index] {
    if (report_.results[index].finished) return;
    report_.results[index].abandoned = true;
    Handle(engine, dispatch::CallerGone{core::RequestId(index + 1)});
  });
}

void Simulation::Announce() {
  ++sequence_;
  std::vector<schema::Announcement> all;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    schema::Announcement announced;
    announced.id = core::UpstreamId(UpstreamName(i));
    announced.sequence = sequence_;
    announced.address = "127.0.0.1:" + std::to_string(9000 + i);
    announced.data_centre = core::DataCentreId("welshpool");
    announced.kind = "model";
    announced.model = core::ModelId("drafter");
    announced.layers = {0, 31};
    announced.model_layers = 32;
    announced.slots = setup_.slots;
    announced.load = static_cast<std::uint32_t>(upstreams_[i].legs.size());
    all.push_back(std::move(announced));
  }
  for (std::size_t i = 0; i < setup_.engines; ++i) {
    Handle(i, dispatch::UpstreamsChanged{all});
  }
  Schedule(now_ + kAnnounceInterval, [this] { Announce(); });
}

void Simulation::SampleLoads() {
  std::vector<std::uint32_t> loads;
  for (const Upstream& upstream : upstreams_) {
    loads.push_back(static_cast<std::uint32_t>(upstream.legs.size()));
  }
  report_.loads.push_back(std::move(loads));
  Schedule(now_ + kSampleInterval, [this] { SampleLoads(); });
}

void Simulation::ApplyFault(const Fault& fault, bool begins) {
  Upstream& upstream = upstreams_[fault.upstream];
  upstream.fault.reset();
  if (!begins) return;
  upstream.fault = fault.kind;
  for (const std::uint64_t key : upstream.legs) {
    report_.results[legs_.at(key).arrival].hit_by_fault = true;
  }
  if (fault.kind != Fault::Kind::kFail) return;
  const std::vector<std::uint64_t> legs = upstream.legs;
  for (const std::uint64_t key : legs) End(key, dispatch::LegEnd::kFailed);
}

void Simulation::Start(std::size_t engine, const dispatch::StartLeg& leg) {
  const std::size_t index = leg.request.value() - 1;
  const std::string& name = leg.chain.front().upstream.value();
  const std::size_t upstream = std::stoul(name.substr(1));
  const std::uint64_t key = LegKey(engine, leg.leg);
  legs_.emplace(key, RunningLeg{engine,
                                leg.leg,
                                leg.epoch,
                                index,
                                upstream,
                                leg.first_token,
                                leg.first_token + leg.count,
                                {},
                                false});
  report_.legs.push_back({now_ - kStart, upstream});
  Upstream& target = upstreams_[upstream];
  target.legs.push_back(key);
  if (target.fault == Fault::Kind::kFail) {
    Schedule(now_, [this, key] { End(key, dispatch::LegEnd::kFailed); });
  } else if (target.used_slots < setup_.slots) {
    TakeSlot(key);
  } else {
    target.waiting.push_back(key);
  }
}

core::Duration Simulation::ServiceDuration(
    const Upstream& upstream, core::Duration duration) const noexcept {
  return upstream.fault == Fault::Kind::kSlow ? duration * kSlowFactor
                                              : duration;
}

void Simulation::TakeSlot(std::uint64_t key) {
  RunningLeg& leg = legs_.at(key);
  Upstream& upstream = upstreams_[leg.upstream];
  ++upstream.used_slots;
  leg.has_slot = true;
  leg.slot_since = now_;
  const double units =
      scheduling::PromptUnits(arrivals_[leg.arrival].prompt_bytes);
  const auto prefill = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(setup_.service.prefill) * units);
  Schedule(now_ + ServiceDuration(upstream, prefill + setup_.service.token),
           [this, key] { Produce(key); });
}

void Simulation::Produce(std::uint64_t key) {
  const auto found = legs_.find(key);
  if (found == legs_.end()) return;
  RunningLeg& leg = found->second;
  const Upstream& upstream = upstreams_[leg.upstream];
  if (upstream.fault == Fault::Kind::kSilent) return;
  const Arrival& arrival = arrivals_[leg.arrival];
  const std::uint32_t index = leg.next++;
  const bool stop = leg.next >= arrival.tokens;
  const bool chunk = leg.next >= leg.end;
  if (!stop && !chunk) {
    Schedule(now_ + ServiceDuration(upstream, setup_.service.token),
             [this, key] { Produce(key); });
  }
  Handle(leg.engine, dispatch::LegToken{leg.id, leg.epoch, index, "t"});
  if (stop) {
    End(key, dispatch::LegEnd::kStop);
  } else if (chunk) {
    End(key, dispatch::LegEnd::kChunk);
  }
}

void Simulation::End(std::uint64_t key, dispatch::LegEnd end) {
  const auto node = legs_.extract(key);
  if (node.empty()) return;
  const RunningLeg& leg = node.mapped();
  Upstream& upstream = upstreams_[leg.upstream];
  std::erase(upstream.legs, key);
  std::erase(upstream.waiting, key);
  if (leg.has_slot) {
    --upstream.used_slots;
    report_.busy += now_ - leg.slot_since;
    if (!upstream.waiting.empty() && upstream.fault != Fault::Kind::kFail) {
      const std::uint64_t next = upstream.waiting.front();
      upstream.waiting.pop_front();
      TakeSlot(next);
    }
  }
  dispatch::LegEnded ended{leg.id, end, std::nullopt};
  if (end == dispatch::LegEnd::kFailed) {
    ended.culprit = core::UpstreamId(UpstreamName(leg.upstream));
  }
  Handle(leg.engine, ended);
}

}  // namespace foxquay::bench
