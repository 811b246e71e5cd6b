#ifndef FOXQUAY_DAEMON_ACTION_EXECUTOR_H_
#define FOXQUAY_DAEMON_ACTION_EXECUTOR_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/traffic.h"

namespace foxquay::daemon {

struct Traffic::RequestState {
  ResultChannel* channel = nullptr;
  core::WorkspaceId workspace;
  std::string digest;
  http::ServiceSend service;
  http::Connection connection;
  bool claimed = false;   ///< Needs a claim; its outcome may be recorded.
  bool finished = false;  ///< Whether the engine has ended it.
  core::TrafficClass traffic_class = core::TrafficClass::kInteractive;
  core::Instant arrived{};
  core::Instant last_token{};
  bool dispatched = false;
  std::uint32_t tokens = 0;
};

struct Traffic::Leg {
  core::RequestId request;
  std::string address;
  std::uint64_t epoch = 0;
  bool call = false;  ///< A service call, not a leg of a completion.
};

/// Work that a decision of the engine causes, to be done after its mutex is
/// released.
struct Traffic::DeferredActions {
  std::vector<std::function<void()>> jobs;   ///< Blocking; run on the pool.
  std::vector<std::function<void()>> hooks;  ///< Short; run on this thread.
  std::vector<ResultChannel*> wakeups;
  std::vector<http::Connection> aborts;
};

/// Visitor that executes the actions which the engine returns for one event.
///
/// Updates the state of Traffic and collects blocking work in `deferred`.
/// Appends to `events` what the engine must handle next. Precondition: the
/// engine's mutex is held.
class Traffic::ActionExecutor {
 public:
  ActionExecutor(Traffic& traffic, std::vector<dispatch::Event>& events,
                 DeferredActions& deferred)
      : traffic_(traffic), events_(events), deferred_(deferred) {}

  void operator()(dispatch::StartLeg& leg) {
    RecordDispatch(leg.request);
    traffic_.legs_[leg.leg] = {leg.request, leg.chain.front().address,
                               leg.epoch, false};
    std::string name = traffic_.NameOf(leg.request);
    deferred_.jobs.emplace_back(
        [&traffic = traffic_, name = std::move(name), start = std::move(leg)] {
          traffic.RunLeg(start, name);
        });
  }

  void operator()(dispatch::CancelLeg& cancel) {
    const auto found = traffic_.legs_.find(cancel.leg);
    if (found == traffic_.legs_.end()) return;
    const Leg leg = found->second;
    traffic_.legs_.erase(found);
    events_.emplace_back(dispatch::LegEnded{
        cancel.leg, dispatch::LegEnd::kCanceled, std::nullopt});
    if (leg.call) return;
    deferred_.jobs.emplace_back([leg, name = traffic_.NameOf(leg.request)] {
      http::CancelLeg(leg.address, name, leg.epoch);
    });
  }

  void operator()(dispatch::CallService& call) {
    const auto found = traffic_.requests_.find(call.request);
    if (found == traffic_.requests_.end()) {
      events_.emplace_back(dispatch::ServiceFailed{call.leg, false});
      return;
    }
    RecordDispatch(call.request);
    traffic_.legs_[call.leg] = {call.request, call.address, 0, true};
    http::ServiceSend send = found->second.service;
    send.address = call.address;
    send.time_left = call.time_left;
    deferred_.jobs.emplace_back([&traffic = traffic_, leg = call.leg,
                                 request = call.request, send = std::move(send),
                                 claimed = found->second.claimed] {
      traffic.RunCall(leg, request, send, claimed);
    });
  }

  void operator()(dispatch::RequestClaim& claim) {
    const auto found = traffic_.requests_.find(claim.request);
    if (found == traffic_.requests_.end() || !traffic_.hooks_.request_claim) {
      events_.emplace_back(dispatch::ClaimDecided{
          claim.request, dispatch::ClaimDecision::kUnavailable, 0, ""});
      return;
    }
    deferred_.hooks.emplace_back(
        [&hooks = traffic_.hooks_,
         request = ClaimRequest{claim.request, found->second.workspace,
                                std::move(claim.key),
                                found->second.digest}]() mutable {
          hooks.request_claim(std::move(request));
        });
  }

  void operator()(dispatch::ReleaseClaim& release) {
    if (!traffic_.hooks_.release_claim) return;
    deferred_.hooks.emplace_back(
        [&hooks = traffic_.hooks_,
         message =
             ClaimRelease{release.request, std::move(release.key)}]() mutable {
          hooks.release_claim(std::move(message));
        });
  }

  void operator()(dispatch::RecordOutcome& record) {
    if (!traffic_.hooks_.record_outcome) return;
    deferred_.hooks.emplace_back(
        [&hooks = traffic_.hooks_,
         message =
             ClaimRecord{record.request, std::move(record.key), record.outcome,
                         record.status, std::move(record.body)}]() mutable {
          hooks.record_outcome(std::move(message));
        });
  }

  void operator()(dispatch::DeliverToken& token) {
    const auto found = traffic_.requests_.find(token.request);
    if (found == traffic_.requests_.end()) return;
    const core::RequestId request = token.request;
    RecordToken(found->second);
    ResultChannel* channel = found->second.channel;
    deferred_.wakeups.push_back(channel);
    if (channel->Deliver(std::move(token))) return;
    channel->Abandon();
    deferred_.aborts.push_back(found->second.connection);
    events_.emplace_back(dispatch::CallerGone{request});
  }

  void operator()(dispatch::Finish& finish) {
    const auto found = traffic_.requests_.find(finish.request);
    if (found == traffic_.requests_.end()) return;
    found->second.finished = true;
    RecordEnd(found->second, finish);
    found->second.channel->Finish(std::move(finish));
    deferred_.wakeups.push_back(found->second.channel);
  }

 private:
  void RecordDuration(metrics::Series series, const RequestState& state,
                      core::Duration duration) {
    if (!traffic_.hooks_.record_time) return;
    traffic_.hooks_.record_time(series, state.workspace, state.traffic_class,
                                duration);
  }

  void RecordDispatch(core::RequestId request) {
    const auto found = traffic_.requests_.find(request);
    if (found == traffic_.requests_.end() || found->second.dispatched) return;
    found->second.dispatched = true;
    RecordDuration(metrics::Series::kWait, found->second,
                   Now() - found->second.arrived);
  }

  void RecordToken(RequestState& state) {
    const core::Instant now = Now();
    if (state.tokens++ == 0) {
      RecordDuration(metrics::Series::kFirstToken, state, now - state.arrived);
    } else {
      RecordDuration(metrics::Series::kBetweenTokens, state,
                     now - state.last_token);
    }
    state.last_token = now;
  }

  void RecordEnd(const RequestState& state, const dispatch::Finish& finish) {
    RequestEnd end;
    end.request = traffic_.NameOf(finish.request);
    end.workspace = state.workspace;
    end.traffic_class = state.traffic_class;
    end.outcome = finish.outcome;
    end.reason = finish.reason;
    end.tokens = state.tokens;
    end.total = Now() - state.arrived;
    RecordDuration(metrics::Series::kTotal, state, end.total);
    if (!traffic_.hooks_.request_ended) return;
    deferred_.hooks.emplace_back(
        [&hooks = traffic_.hooks_, end = std::move(end)] {
          hooks.request_ended(end);
        });
  }

  Traffic& traffic_;
  std::vector<dispatch::Event>& events_;
  DeferredActions& deferred_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_ACTION_EXECUTOR_H_
