#ifndef FOXQUAY_DAEMON_PERFORMER_H_
#define FOXQUAY_DAEMON_PERFORMER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/traffic.h"

namespace foxquay::daemon {

struct Traffic::Entry {
  Exchange* exchange = nullptr;
  core::WorkspaceId workspace;
  std::string digest;
  http::ServiceSend service;
  http::Connection connection;
  bool claimed = false;   ///< Whether its outcome may be recorded.
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
  bool call = false;  ///< A service call rather than a leg of a completion.
};

/// I/O to start once the engine's mutex is released.
struct Traffic::Pending {
  std::vector<std::function<void()>> jobs;   ///< Blocking, on workers.
  std::vector<std::function<void()>> hooks;  ///< Short, on this thread.
  std::vector<Exchange*> wakes;
  std::vector<http::Connection> aborts;
};

/// Carries out the actions of one decision under the engine's mutex.
class Traffic::Performer {
 public:
  Performer(Traffic& traffic, std::vector<dispatch::Event>& events,
            Pending& pending)
      : traffic_(traffic), events_(events), pending_(pending) {}

  void operator()(dispatch::StartLeg& leg) {
    NoteDispatch(leg.request);
    traffic_.legs_[leg.leg] = {leg.request, leg.chain.front().address,
                               leg.epoch, false};
    std::string name = traffic_.NameOf(leg.request);
    pending_.jobs.emplace_back(
        [&traffic = traffic_, name = std::move(name), order = std::move(leg)] {
          traffic.RunLeg(order, name);
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
    pending_.jobs.emplace_back([leg, name = traffic_.NameOf(leg.request)] {
      http::CancelLeg(leg.address, name, leg.epoch);
    });
  }

  void operator()(dispatch::CallService& call) {
    const auto found = traffic_.entries_.find(call.request);
    if (found == traffic_.entries_.end()) {
      events_.emplace_back(dispatch::ServiceFailed{call.leg, false});
      return;
    }
    NoteDispatch(call.request);
    traffic_.legs_[call.leg] = {call.request, call.address, 0, true};
    http::ServiceSend send = found->second.service;
    send.address = call.address;
    send.time_left = call.time_left;
    pending_.jobs.emplace_back([&traffic = traffic_, leg = call.leg,
                                request = call.request, send = std::move(send),
                                claimed = found->second.claimed] {
      traffic.RunCall(leg, request, send, claimed);
    });
  }

  void operator()(dispatch::RequestClaim& claim) {
    const auto found = traffic_.entries_.find(claim.request);
    if (found == traffic_.entries_.end() || !traffic_.hooks_.request_claim) {
      events_.emplace_back(dispatch::ClaimDecided{
          claim.request, dispatch::ClaimDecision::kUnavailable, 0, ""});
      return;
    }
    pending_.hooks.emplace_back(
        [&hooks = traffic_.hooks_,
         request = ClaimRequest{claim.request, found->second.workspace,
                                std::move(claim.key),
                                found->second.digest}]() mutable {
          hooks.request_claim(std::move(request));
        });
  }

  void operator()(dispatch::ReleaseClaim& release) {
    if (!traffic_.hooks_.release_claim) return;
    pending_.hooks.emplace_back(
        [&hooks = traffic_.hooks_,
         message =
             ClaimRelease{release.request, std::move(release.key)}]() mutable {
          hooks.release_claim(std::move(message));
        });
  }

  void operator()(dispatch::RecordOutcome& record) {
    if (!traffic_.hooks_.record_outcome) return;
    pending_.hooks.emplace_back(
        [&hooks = traffic_.hooks_,
         message =
             ClaimRecord{record.request, std::move(record.key), record.outcome,
                         record.status, std::move(record.body)}]() mutable {
          hooks.record_outcome(std::move(message));
        });
  }

  void operator()(dispatch::DeliverToken& token) {
    const auto found = traffic_.entries_.find(token.request);
    if (found == traffic_.entries_.end()) return;
    const core::RequestId request = token.request;
    NoteToken(found->second);
    Exchange* exchange = found->second.exchange;
    pending_.wakes.push_back(exchange);
    if (exchange->Deliver(std::move(token))) return;
    exchange->Abandon();
    pending_.aborts.push_back(found->second.connection);
    events_.emplace_back(dispatch::CallerGone{request});
  }

  void operator()(dispatch::Finish& finish) {
    const auto found = traffic_.entries_.find(finish.request);
    if (found == traffic_.entries_.end()) return;
    found->second.finished = true;
    NoteEnd(found->second, finish);
    found->second.exchange->Finish(std::move(finish));
    pending_.wakes.push_back(found->second.exchange);
  }

 private:
  void Record(metrics::Series series, const Entry& entry,
              core::Duration duration) {
    if (!traffic_.hooks_.record_time) return;
    traffic_.hooks_.record_time(series, entry.workspace, entry.traffic_class,
                                duration);
  }

  void NoteDispatch(core::RequestId request) {
    const auto found = traffic_.entries_.find(request);
    if (found == traffic_.entries_.end() || found->second.dispatched) return;
    found->second.dispatched = true;
    Record(metrics::Series::kWait, found->second,
           Now() - found->second.arrived);
  }

  void NoteToken(Entry& entry) {
    const core::Instant now = Now();
    if (entry.tokens++ == 0) {
      Record(metrics::Series::kFirstToken, entry, now - entry.arrived);
    } else {
      Record(metrics::Series::kBetweenTokens, entry, now - entry.last_token);
    }
    entry.last_token = now;
  }

  void NoteEnd(const Entry& entry, const dispatch::Finish& finish) {
    RequestEnd end;
    end.request = traffic_.NameOf(finish.request);
    end.workspace = entry.workspace;
    end.traffic_class = entry.traffic_class;
    end.outcome = finish.outcome;
    end.reason = finish.reason;
    end.tokens = entry.tokens;
    end.total = Now() - entry.arrived;
    Record(metrics::Series::kTotal, entry, end.total);
    if (!traffic_.hooks_.request_ended) return;
    pending_.hooks.emplace_back(
        [&hooks = traffic_.hooks_, end = std::move(end)] {
          hooks.request_ended(end);
        });
  }

  Traffic& traffic_;
  std::vector<dispatch::Event>& events_;
  Pending& pending_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_PERFORMER_H_
