#include "foxquay/daemon/control_node.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <future>
#include <random>
#include <type_traits>
#include <utility>
#include <variant>

#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/control_policy.h"
#include "foxquay/daemon/digest.h"
#include "foxquay/log/log.h"
#include "foxquay/schema/codec.h"

namespace foxquay::daemon {
namespace internal {

/// Time for which the end of a claim is tried again before it is given up; by
/// then the incarnation has ended and the claim counts as unknown.
constexpr core::Duration kSettleTimeout = std::chrono::minutes(10);

/// Pause between two registrations of this host.
constexpr core::Duration kRegistrationPause = std::chrono::milliseconds(500);

constexpr core::Duration kInForceTimeout = std::chrono::milliseconds(400);
constexpr core::Duration kInForcePause = std::chrono::milliseconds(20);

std::vector<core::HostId> ControlHosts(const schema::Settings& settings) {
  std::vector<core::HostId> hosts;
  for (const HostView& host : Hosts(settings).View({})) {
    if (host.control) hosts.push_back(host.id);
  }
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

std::vector<core::HostId> Standbys(const schema::Settings& settings) {
  std::vector<core::HostId> hosts;
  for (const schema::PeerSettings& peer : settings.peers) {
    if (peer.standby) hosts.push_back(peer.id);
  }
  return hosts;
}

bool HasRole(const schema::Settings& settings, schema::Role role) {
  const auto& roles = settings.host.roles;
  return std::find(roles.begin(), roles.end(), role) != roles.end();
}

std::string ReasonOf(control::AdmissionState state) {
  switch (state) {
    case control::AdmissionState::kOpen:
      return "";
    case control::AdmissionState::kNoLease:
      return "this host cannot confirm its configuration";
    case control::AdmissionState::kNotRegistered:
      return "this host is not registered yet";
  }
  return "";
}

dispatch::ClaimDecision DecisionOf(schema::ClaimStatus status) {
  switch (status) {
    case schema::ClaimStatus::kGranted:
      return dispatch::ClaimDecision::kGranted;
    case schema::ClaimStatus::kRunning:
      return dispatch::ClaimDecision::kRunning;
    case schema::ClaimStatus::kComplete:
      return dispatch::ClaimDecision::kComplete;
    case schema::ClaimStatus::kUnknown:
      return dispatch::ClaimDecision::kUnknown;
    case schema::ClaimStatus::kMismatch:
      return dispatch::ClaimDecision::kMismatch;
    case schema::ClaimStatus::kExpired:
    case schema::ClaimStatus::kTooLong:
    case schema::ClaimStatus::kMalformed:
      return dispatch::ClaimDecision::kExpired;
    case schema::ClaimStatus::kReleased:
    case schema::ClaimStatus::kNotOwner:
    case schema::ClaimStatus::kEnded:
    case schema::ClaimStatus::kFull:
      return dispatch::ClaimDecision::kUnavailable;
  }
  return dispatch::ClaimDecision::kUnavailable;
}

}  // namespace internal

ControlNode::ControlNode(const schema::Settings& settings, std::string peer_key,
                         std::uint64_t incarnation, ControlSink sink)
    : settings_(settings),
      self_(settings.host.id),
      sink_(std::move(sink)),
      incarnation_(incarnation),
      work_(boost::asio::make_work_guard(context_)),
      timer_(context_),
      links_(
          context_, {self_, incarnation, settings.listeners.peer},
          transport::Seal(settings.security.cluster, std::move(peer_key)),
          [this](schema::Envelope envelope) { Receive(std::move(envelope)); }),
      observer_(self_, incarnation),
      roster_(self_, incarnation),
      hosts_(settings),
      proposer_(incarnation, internal::ControlHosts(settings),
                [this](const core::HostId& to, schema::ProposeRequest request) {
                  SendPropose(to, std::move(request));
                }) {
  shared_.store(std::make_shared<const Shared>());
}

ControlNode::~ControlNode() { Stop(); }

std::error_code ControlNode::Start() {
  if (internal::HasRole(settings_, schema::Role::kControl) ||
      internal::HasRole(settings_, schema::Role::kStandby)) {
    disk_ = std::make_unique<ControlDisk>(
        self_, settings_.host.data_folder, [this](consensus::Ticket ticket) {
          boost::asio::post(context_, [this, ticket] {
            replica_->Handle(consensus::Persisted{ticket}, Now());
          });
        });
    auto durable = disk_->Recover();
    if (!durable) return durable.error();
    if (!RestoreState(durable.value())) {
      return make_error_code(core::Error::kCorrupt);
    }
    StartReplica(std::move(durable).value());
  }
  if (const std::error_code error = links_.Start()) return error;
  for (const schema::PeerSettings& peer : settings_.peers) {
    if (const std::error_code error = links_.SetPeer(peer.id, peer.address)) {
      return error;
    }
    peers_.push_back(peer.id);
  }
  PublishPolicy();
  Tick();
  thread_ = std::thread([this] { context_.run(); });
  return {};
}

void ControlNode::Stop() {
  if (stopping_.exchange(true)) return;
  if (thread_.joinable()) {
    boost::asio::post(context_, [this] {
      timer_.cancel();
      links_.Stop();
      work_.reset();
      context_.stop();
    });
    thread_.join();
  }
  if (disk_) disk_->Stop();
}

void ControlNode::StartReplica(consensus::Durable durable) {
  consensus::Options options;
  options.self = disk_->replica();
  options.founders = internal::ControlHosts(settings_);
  options.standbys = internal::Standbys(settings_);
  options.seed = std::random_device()();
  ControlReplica::Output output;
  output.send = [this](const core::HostId& to,
                       const schema::ConsensusMessage& message) {
    Send(to, message);
  };
  output.persist = [this](consensus::Persist&& action) {
    disk_->Persist(std::move(action));
  };
  output.save_snapshot = [this](consensus::SaveSnapshot&& action) {
    disk_->SaveSnapshot(std::move(action));
  };
  output.changed = [this] { SyncObserver(); };
  output.failed = [](std::error_code error) {
    log::Write(log::Level::kError, "snapshot_corrupt",
               {{"error", error.message()}});
    std::abort();
  };
  replica_.emplace(std::move(options), std::move(durable), std::move(output),
                   Now());
}

void ControlNode::Tick() {
  if (stopping_) return;
  const core::Instant now = Now();
  if (replica_) replica_->Handle(consensus::Tick{}, now);
  proposer_.Tick(now);
  ExpireChecks(now);
  if (now >= next_config_poll_) PollConfig(now);
  if (now >= next_roster_poll_) PollRoster(now);
  Register(now);
  EndSilentIncarnations(now);
  PublishAdmission(now);
  PublishRoster(now);
  PublishHosts(now);
  timer_.expires_after(kControlTick);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

core::HostId ControlNode::KnownLeader() const {
  if (replica_) {
    const core::HostId leader = replica_->leader();
    if (!leader.empty()) return leader;
  }
  return proposer_.leader();
}

void ControlNode::SyncObserver() {
  if (!replica_) return;
  const core::Instant now = Now();
  const core::HostId leader = replica_->leader();
  if (!leader.empty()) proposer_.SetLeader(leader);
  if (replica_->leads() != led_) {
    led_ = replica_->leads();
    led_since_ = now;
    last_poll_.clear();
  }
  observer_.Sync(replica_->state(), replica_->Age(now), now);
  PublishPolicy();
}

void ControlNode::PollConfig(core::Instant now) {
  next_config_poll_ = now + kConfigPollInterval;
  const core::HostId leader = KnownLeader();
  if (!leader.empty() && leader != self_) {
    Send(leader, observer_.StartPoll(now));
  }
  if (replica_ && replica_->leads()) {
    last_poll_[self_] = now;
    (void)replica_->Answer(observer_.StartPoll(now), now);
  }
  if (peers_.empty()) return;
  next_peer_ = (next_peer_ + 1) % peers_.size();
  if (peers_[next_peer_] != leader) {
    Send(peers_[next_peer_], observer_.StartPoll(now));
  }
}

void ControlNode::PollRoster(core::Instant now) {
  next_roster_poll_ = now + roster::kPollInterval;
  schema::HostReport report;
  report.draining = draining_;
  report.admitting =
      observer_.Admit(now).state == control::AdmissionState::kOpen;
  report.free_percent = static_cast<std::uint8_t>(
      std::clamp(sink_.free_capacity(), 0.0, 1.0) * 100);
  report.open_requests = static_cast<std::uint32_t>(sink_.open_requests());
  report.revision = observer_.config().revision();
  report.leader = KnownLeader();
  hosts_.SetOwn(observer_.incarnation(), report);
  for (const core::HostId& peer : peers_) {
    links_.SendDatagram(peer, schema::Encode(schema::PeerMessage(report)));
    Send(peer, roster_.Poll(now));
  }
}

void ControlNode::Register(core::Instant now) {
  const bool live = observer_.config().Live(self_, observer_.incarnation());
  if (live || registering_ || now < next_registration_) return;
  registering_ = true;
  next_registration_ = now + internal::kRegistrationPause;
  const schema::RegisterHost command{self_, observer_.incarnation(),
                                     settings_.host.data_centre};
  proposer_.Propose(
      command, now + kClaimTimeout, now,
      [this](const core::Result<schema::ControlResult>& result) {
        registering_ = false;
        if (!result) return;
        const auto* host = std::get_if<schema::HostResult>(&result.value());
        if (host == nullptr || host->status != schema::HostStatus::kStale) {
          return;
        }
        observer_.SetIncarnation(
            std::max(host->incarnation, observer_.incarnation()) + 1);
      });
}

void ControlNode::EndSilentIncarnations(core::Instant now) {
  if (!replica_ || !replica_->leads() || draining_) return;
  for (const auto& [host, record] : replica_->state().config().hosts()) {
    if (!record.live) continue;
    const core::Instant heard =
        last_poll_.try_emplace(host, led_since_).first->second;
    if (now - heard < kIncarnationSilence) continue;
    last_poll_[host] = now;
    log::Write(log::Level::kWarn, "incarnation_ended",
               {{"host", host}, {"incarnation", record.incarnation}});
    proposer_.Propose(schema::EndIncarnation{host, record.incarnation},
                      now + kClaimTimeout, now,
                      [](const core::Result<schema::ControlResult>&) {});
  }
}

void ControlNode::PublishPolicy() {
  if (published_sequence_ == observer_.config().sequence()) return;
  published_sequence_ = observer_.config().sequence();
  sink_.set_policy(PolicyOf(observer_.config()));
}

void ControlNode::PublishAdmission(core::Instant now) {
  const control::Admission admission = observer_.Admit(now);
  dispatch::AdmissionChanged changed;
  changed.open = admission.state == control::AdmissionState::kOpen;
  changed.reason = internal::ReasonOf(admission.state);
  if (changed.open) changed.until = admission.until;
  const bool same = published_admission_ &&
                    published_admission_->open == changed.open &&
                    published_admission_->until == changed.until;
  if (same) return;
  if (!published_admission_ || published_admission_->open != changed.open) {
    log::Write(log::Level::kInfo, "admission_changed",
               {{"open", changed.open}, {"reason", changed.reason}});
  }
  published_admission_ = changed;
  sink_.set_admission(std::move(changed));
}

void ControlNode::PublishRoster(core::Instant now) {
  std::vector<schema::Announcement> usable = roster_.Usable(now);
  if (usable == published_upstreams_) return;
  published_upstreams_ = usable;
  sink_.set_upstreams(std::move(usable));
}

void ControlNode::PublishHosts(core::Instant now) {
  control::Subject subject;
  subject.data_centre = settings_.host.data_centre;
  subject.host = self_;
  const auto ttl =
      observer_.config().Effective(schema::PolicyKey::kEntryTtl, subject);
  auto shared = std::make_shared<Shared>();
  shared->hosts = hosts_.View(now);
  shared->entry_ttl = std::chrono::milliseconds(ttl);
  shared_.store(std::move(shared));
}

http::EntryAnswer ControlNode::Entry(
    const core::DataCentreId& data_centre) const {
  const std::shared_ptr<const Shared> shared = shared_.load();
  http::EntryAnswer answer;
  answer.ttl = shared->entry_ttl;
  for (const HostView& host : UsableHosts(shared->hosts, data_centre)) {
    const auto weight = std::max<std::uint32_t>(1, host.report.free_percent);
    answer.addresses.push_back(
        {host.id.value(), host.caller, host.data_centre.value(), weight});
  }
  return answer;
}

void ControlNode::Send(const core::HostId& to,
                       const schema::PeerMessage& message) {
  links_.Send(to, schema::Encode(message));
}

void ControlNode::SendPropose(const core::HostId& to,
                              schema::ProposeRequest request) {
  if (to != self_) {
    Send(to, std::move(request));
    return;
  }
  boost::asio::post(context_, [this, request = std::move(request)] {
    AnswerPropose(self_, request);
  });
}

void ControlNode::AnswerPropose(const core::HostId& to,
                                const schema::ProposeRequest& request) {
  schema::ProposeReply reply;
  reply.incarnation = request.incarnation;
  reply.number = request.number;
  const auto answer = [this, to](schema::ProposeReply done) {
    done.leader = KnownLeader();
    if (to == self_) {
      proposer_.HandleReply(done, Now());
    } else {
      Send(to, std::move(done));
    }
  };
  if (!replica_) {
    answer(std::move(reply));
    return;
  }
  replica_->Propose(
      request.command, WallNow(), Now(),
      [answer, reply](const core::Result<schema::ControlResult>& result) {
        schema::ProposeReply done = reply;
        done.committed = result.has_value();
        if (result) done.result = result.value();
        answer(std::move(done));
      });
}

void ControlNode::Receive(schema::Envelope envelope) {
  auto message = schema::Decode<schema::PeerMessage>(envelope.payload);
  if (!message) {
    log::Write(log::Level::kWarn, "peer_message_malformed",
               {{"host", envelope.sender}});
    return;
  }
  std::visit([&](auto& content) { On(envelope, std::move(content)); },
             message.value());
}

void ControlNode::On(const schema::Envelope&,
                     schema::ConsensusMessage message) {
  if (!replica_) return;
  replica_->Handle(consensus::Received{std::move(message)}, Now());
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::ConfigPoll& poll) {
  const core::Instant now = Now();
  std::optional<schema::ConfigReply> reply;
  if (replica_ && replica_->leads()) {
    last_poll_[from.sender] = now;
    reply = replica_->Answer(poll, now);
  }
  if (!reply) reply = observer_.Answer(poll, now);
  if (reply) Send(from.sender, *std::move(reply));
}

void ControlNode::On(const schema::Envelope&,
                     const schema::ConfigReply& reply) {
  if (observer_.HandleReply(reply)) PublishPolicy();
  PublishAdmission(Now());
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::RosterPoll& poll) {
  Send(from.sender, roster_.Answer(poll, Now()));
}

void ControlNode::On(const schema::Envelope&,
                     const schema::RosterReply& reply) {
  const core::Instant now = Now();
  roster_.Apply(reply, now);
  PublishRoster(now);
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::ProposeRequest& request) {
  AnswerPropose(from.sender, request);
}

void ControlNode::On(const schema::Envelope&,
                     const schema::ProposeReply& reply) {
  proposer_.HandleReply(reply, Now());
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::InForceRequest& request) {
  schema::InForceReply reply;
  reply.incarnation = request.incarnation;
  reply.number = request.number;
  const auto answer =
      replica_ ? replica_->CheckInForce(request.sequence, Now()) : std::nullopt;
  reply.known = answer.has_value();
  if (answer) {
    reply.in_force = answer->in_force;
    reply.waiting = answer->waiting;
    reply.expired = answer->expired;
  }
  Send(from.sender, std::move(reply));
}

void ControlNode::On(const schema::Envelope&,
                     const schema::InForceReply& reply) {
  if (reply.incarnation != incarnation_) return;
  const auto found = checks_.find(reply.number);
  if (found == checks_.end()) return;
  const InForceDone done = std::move(found->second.done);
  checks_.erase(found);
  if (!reply.known) {
    done(make_error_code(core::Error::kUnavailable));
    return;
  }
  done(control::InForce{reply.in_force, reply.waiting, reply.expired});
}

void ControlNode::On(const schema::Envelope& from,
                     const schema::HostReport& report) {
  hosts_.HandleReport(from.sender, from.incarnation, report, Now());
  if (KnownLeader().empty()) proposer_.SetLeader(report.leader);
}

void ControlNode::RequestClaim(ClaimRequest request) {
  boost::asio::post(context_, [this, request = std::move(request)] {
    const core::Instant now = Now();
    OpenClaim claim{{self_, observer_.incarnation(), request.request.value()},
                    request.workspace,
                    request.key};
    const schema::Claim command{claim.owner, claim.workspace, claim.key,
                                request.digest};
    claims_[request.request] = std::move(claim);
    proposer_.Propose(command, now + kClaimTimeout, now,
                      [this, id = request.request](
                          const core::Result<schema::ControlResult>& result) {
                        Decide(id, result);
                      });
  });
}

void ControlNode::Decide(core::RequestId request,
                         const core::Result<schema::ControlResult>& result) {
  dispatch::ClaimDecided decided;
  decided.request = request;
  const schema::ClaimResult* claim =
      result ? std::get_if<schema::ClaimResult>(&result.value()) : nullptr;
  if (claim != nullptr) {
    decided.decision = internal::DecisionOf(claim->status);
    decided.status = claim->answer_status;
    decided.body = claim->body;
  }
  sink_.decide_claim(std::move(decided));
}

void ControlNode::ReleaseClaim(ClaimRelease release) {
  boost::asio::post(context_, [this, release = std::move(release)] {
    const auto found = claims_.find(release.request);
    if (found == claims_.end()) return;
    const OpenClaim claim = std::move(found->second);
    claims_.erase(found);
    Settle(schema::ReleaseClaim{claim.owner, claim.workspace, claim.key});
  });
}

void ControlNode::RecordOutcome(ClaimRecord record) {
  boost::asio::post(context_, [this, record = std::move(record)] {
    const auto found = claims_.find(record.request);
    if (found == claims_.end()) return;
    const OpenClaim claim = std::move(found->second);
    claims_.erase(found);
    schema::RecordClaim command;
    command.owner = claim.owner;
    command.workspace = claim.workspace;
    command.key = claim.key;
    command.complete = record.outcome == core::Outcome::kComplete;
    command.status = record.status;
    if (record.body.size() <= 4096) command.body = record.body;
    command.body_digest = Digest({record.body});
    Settle(command);
  });
}

void ControlNode::Settle(const schema::ControlCommand& command) {
  const core::Instant now = Now();
  proposer_.Propose(command, now + internal::kSettleTimeout, now,
                    [](const core::Result<schema::ControlResult>& result) {
                      if (result) return;
                      log::Write(log::Level::kWarn, "claim_not_settled", {});
                    });
}

void ControlNode::Announce(const schema::Announcement& announcement) {
  boost::asio::post(context_, [this, announcement] {
    const core::Instant now = Now();
    if (roster_.Announce(announcement, now)) PublishRoster(now);
  });
}

void ControlNode::Withdraw(const core::UpstreamId& upstream) {
  boost::asio::post(context_, [this, upstream] {
    const core::Instant now = Now();
    if (roster_.Withdraw(upstream, now)) PublishRoster(now);
  });
}

void ControlNode::StartDrain() {
  boost::asio::post(context_, [this] {
    draining_ = true;
    const core::Instant now = Now();
    PollRoster(now);
    PublishHosts(now);
  });
}

template <class Function>
auto ControlNode::Call(Function function) {
  std::promise<decltype(function())> promise;
  auto future = promise.get_future();
  boost::asio::post(context_, [&] { promise.set_value(function()); });
  return future.get();
}

core::Result<schema::ControlResult> ControlNode::Commit(
    const schema::ControlCommand& command, core::Duration timeout) {
  auto promise =
      std::make_shared<std::promise<core::Result<schema::ControlResult>>>();
  auto future = promise->get_future();
  boost::asio::post(context_, [this, command, timeout, promise] {
    const core::Instant now = Now();
    proposer_.Propose(
        command, now + timeout, now,
        [promise](const core::Result<schema::ControlResult>& result) {
          promise->set_value(result);
        });
  });
  return future.get();
}

void ControlNode::CheckInForce(std::uint64_t sequence, core::Instant now,
                               InForceDone done) {
  if (replica_) {
    const auto answer = replica_->CheckInForce(sequence, now);
    if (answer) {
      done(*answer);
      return;
    }
  }
  const core::HostId leader = KnownLeader();
  if (leader.empty() || leader == self_) {
    done(make_error_code(core::Error::kUnavailable));
    return;
  }
  const std::uint64_t number = next_check_++;
  checks_[number] = {now + internal::kInForceTimeout, std::move(done)};
  Send(leader, schema::InForceRequest{incarnation_, number, sequence});
}

void ControlNode::ExpireChecks(core::Instant now) {
  for (auto check = checks_.begin(); check != checks_.end();) {
    if (now < check->second.deadline) {
      ++check;
      continue;
    }
    const InForceDone done = std::move(check->second.done);
    check = checks_.erase(check);
    done(make_error_code(core::Error::kUnavailable));
  }
}

core::Result<control::InForce> ControlNode::AwaitInForce(
    std::uint64_t sequence, core::Duration timeout) {
  const core::Instant deadline = Now() + timeout;
  while (true) {
    auto promise =
        std::make_shared<std::promise<core::Result<control::InForce>>>();
    auto future = promise->get_future();
    boost::asio::post(context_, [this, sequence, promise] {
      CheckInForce(sequence, Now(),
                   [promise](const core::Result<control::InForce>& answer) {
                     promise->set_value(answer);
                   });
    });
    core::Result<control::InForce> answer = future.get();
    const bool settled = answer && answer.value().in_force;
    if (settled || Now() >= deadline) return answer;
    std::this_thread::sleep_for(internal::kInForcePause);
  }
}

ControlStatus ControlNode::Status() {
  return Call([this] {
    const core::Instant now = Now();
    ControlStatus status;
    status.host = self_;
    status.leader = KnownLeader();
    if (replica_) {
      status.term = replica_->replica().term();
      status.commit = replica_->replica().commit();
      const auto& configuration = replica_->replica().configuration();
      status.voters = configuration.voters;
      status.changing_voters = !configuration.previous.empty();
      status.replica = disk_->replica().incarnation;
    }
    status.revision = observer_.config().revision();
    status.admitting =
        observer_.Admit(now).state == control::AdmissionState::kOpen;
    status.hosts = hosts_.View(now);
    status.upstreams = roster_.Usable(now);
    status.links = links_.counters();
    return status;
  });
}

control::Config ControlNode::Configuration() {
  return Call([this] { return observer_.config(); });
}

std::vector<schema::ConfigEntry> ControlNode::History() {
  return Call([this] {
    if (!replica_) return std::vector<schema::ConfigEntry>();
    const auto& history = replica_->state().history();
    return std::vector<schema::ConfigEntry>(history.begin(), history.end());
  });
}

}  // namespace foxquay::daemon
