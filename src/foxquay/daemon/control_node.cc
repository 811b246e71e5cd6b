#include "foxquay/daemon/control_node.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <future>
#include <random>
#include <type_traits>
#include <utility>
#include <variant>

#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/machine.h"
#include "foxquay/log/log.h"

namespace foxquay::daemon {
namespace internal {

/// Time to wait for the leader's reply to one check.
constexpr core::Duration kInForceTimeout = std::chrono::milliseconds(400);
constexpr core::Duration kFlushPollInterval = std::chrono::milliseconds(5);
constexpr core::Duration kInForcePollInterval = std::chrono::milliseconds(20);

/// Interval between two reports of the messages between hosts.
constexpr core::Duration kMessageReportInterval = std::chrono::seconds(1);

std::vector<core::HostId> ControlHosts(const schema::Settings& settings) {
  std::vector<core::HostId> hosts;
  for (const HostView& host : Hosts(settings).Views({})) {
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

/// Returns the port of `IP:PORT`, including the colon.
std::string PortSuffix(const std::string& address) {
  return address.substr(address.rfind(':'));
}

/// Returns the peer settings of a seed. The ID of a host that is found through
/// seeds is the IP address of its peer listener.
schema::PeerSettings SeedPeer(const schema::Settings& settings,
                              const std::string& seed) {
  schema::PeerSettings peer;
  const std::string ip = seed.substr(0, seed.rfind(':'));
  peer.id = core::HostId(ip);
  peer.address = ip + PortSuffix(settings.listeners.peer);
  peer.data_centre = settings.host.data_centre;
  peer.region = settings.host.region;
  peer.control = true;
  return peer;
}

schema::Settings WithSeeds(schema::Settings settings) {
  for (const std::string& seed : settings.join.seeds) {
    schema::PeerSettings peer = SeedPeer(settings, seed);
    if (peer.id != settings.host.id) settings.peers.push_back(std::move(peer));
  }
  return settings;
}

/// Returns the hosts that may found a consensus group. With seeds there are
/// none unless this is the first start of the cluster (`join.bootstrap`).
std::vector<core::HostId> Founders(const schema::Settings& settings) {
  if (settings.join.seeds.empty()) return ControlHosts(settings);
  std::vector<core::HostId> founders;
  if (!settings.join.bootstrap) return founders;
  for (const std::string& seed : settings.join.seeds) {
    founders.emplace_back(seed.substr(0, seed.rfind(':')));
  }
  std::sort(founders.begin(), founders.end());
  return founders;
}

/// Returns the duration of a configuration lease: nine tenths of the time after
/// which no host may act on a replaced configuration, so that the requests
/// admitted last are also forwarded in time.
core::Duration LeaseDuration(const schema::Settings& settings) {
  return settings.limits.revocation * 9 / 10;
}

bool HasRole(const schema::Settings& settings, schema::Role role) {
  const auto& roles = settings.host.roles;
  return std::find(roles.begin(), roles.end(), role) != roles.end();
}

/// With seeds, an announced upstream stays usable for the duration of a
/// configuration lease; without seeds the shorter bound of the roster applies.
roster::Options RosterOptions(const schema::Settings& settings) {
  roster::Options options;
  options.announcement_ttl = settings.limits.upstream_silence;
  if (settings.join.seeds.empty()) return options;
  options.max_feed_age = LeaseDuration(settings);
  options.restart_grace = settings.limits.upstream_silence;
  options.keeps_leaves = HasRole(settings, schema::Role::kControl) ||
                         HasRole(settings, schema::Role::kStandby);
  return options;
}

}  // namespace internal

template <class Function>
auto ControlNode::Call(Function function) {
  std::promise<decltype(function())> promise;
  auto future = promise.get_future();
  boost::asio::post(context_, [&] { promise.set_value(function()); });
  return future.get();
}

ControlNode::ControlNode(const schema::Settings& settings, std::string peer_key,
                         std::uint64_t incarnation, ControlSink sink)
    : settings_(internal::WithSeeds(settings)),
      self_(settings.host.id),
      sink_(std::move(sink)),
      incarnation_(incarnation),
      work_(boost::asio::make_work_guard(context_)),
      timer_(context_),
      links_(
          context_,
          {self_, incarnation, settings.listeners.peer,
           MakePeerLimits(ReadMachine())},
          transport::MessageAuthenticator(settings.security.cluster,
                                          std::move(peer_key)),
          [this](schema::Envelope envelope) { Receive(std::move(envelope)); }),
      observer_(self_, incarnation, internal::LeaseDuration(settings),
                static_cast<bool>(sink_.decide_claim)),
      roster_(self_, incarnation, internal::RosterOptions(settings)),
      spread_(self_, incarnation),
      hosts_(settings_),
      proposer_(incarnation, internal::ControlHosts(settings_),
                [this](const core::HostId& to, schema::ProposeRequest request) {
                  SendPropose(to, std::move(request));
                }),
      retry_pool_({settings.budget.ratio, settings.budget.slack,
                   settings.budget.window}),
      limit_pool_(Now()) {
  shared_.store(std::make_shared<const Shared>());
  links_.SetLossHandler([this](const transport::ConnectionLoss& loss) {
    HandleConnectionLoss(loss);
  });
}

ControlNode::~ControlNode() { Stop(); }

std::error_code ControlNode::Start() {
  if (internal::HasRole(settings_, schema::Role::kControl) ||
      internal::HasRole(settings_, schema::Role::kStandby)) {
    disk_ = std::make_unique<ControlDisk>(
        self_, settings_.host.data_folder, [this](consensus::WriteId write_id) {
          boost::asio::post(context_, [this, write_id] {
            replica_->Handle(consensus::Persisted{write_id}, Now());
          });
        });
    auto durable = disk_->Recover();
    if (!durable) return durable.error();
    if (!RestoreState(durable.value())) {
      return make_error_code(core::Error::kCorrupt);
    }
    StartReplica(std::move(durable).value());
  }
  if (uses_seeds() && !disk_) {
    parent_.emplace(self_);
    UpdateParentCandidates();
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

void ControlNode::AddSeeds(std::vector<std::string> seeds) {
  boost::asio::post(context_, [this, seeds = std::move(seeds)] {
    for (const std::string& seed : seeds) {
      const schema::PeerSettings peer = internal::SeedPeer(settings_, seed);
      if (peer.id == self_ || !hosts_.AddConfigured(peer)) continue;
      if (const auto error = links_.SetPeer(peer.id, peer.address)) {
        log::Write(log::Level::kWarn, "seed_unusable",
                   {{"seed", seed}, {"error", error.message()}});
        continue;
      }
      peers_.push_back(peer.id);
      log::Write(log::Level::kInfo, "seed_added", {{"host", peer.id}});
    }
    UpdateParentCandidates();
  });
}

void ControlNode::Flush(core::Duration timeout) {
  const core::Instant deadline = Now() + timeout;
  while (Now() < deadline && !Call([this] { return proposer_.empty(); })) {
    std::this_thread::sleep_for(internal::kFlushPollInterval);
  }
}

void ControlNode::Retire() {
  boost::asio::post(context_, [this] {
    if (replica_) replica_->Handle(consensus::Retire{}, Now());
    UpdateMayStop();
  });
}

void ControlNode::UpdateMayStop() {
  may_stop_ = !replica_ || replica_->replica().MayStop();
}

void ControlNode::AwaitRetirement() {
  const core::Instant deadline = Now() + kMaxRetireTime;
  while (Now() < deadline && !MayStop()) {
    std::this_thread::sleep_for(internal::kFlushPollInterval);
  }
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

void ControlNode::StartReplica(consensus::PersistentState durable) {
  consensus::Options options;
  options.self = disk_->replica();
  options.founders = internal::Founders(settings_);
  options.standbys = settings_.join.seeds.empty()
                         ? internal::Standbys(settings_)
                         : internal::ControlHosts(settings_);
  options.voters =
      settings_.join.tolerated_losses == 0
          ? 0
          : std::min<std::size_t>(2 * settings_.join.tolerated_losses + 1,
                                  consensus::kMaxVoters);
  options.seed = std::random_device()();
  options.timing = consensus::MakeTiming(settings_.join.catch_up);
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
                   internal::LeaseDuration(settings_), Now());
}

void ControlNode::Tick() {
  if (stopping_) return;
  const core::Instant now = Now();
  if (next_tick_ != core::Instant()) {
    message_stats_.RecordDelay(now - next_tick_);
  }
  ReportMessages(now);
  roster_.SetHostSilence(polls_.Behind(now) ? roster::kBehindHostSilence
                                            : roster::kHostSilence);
  if (replica_) replica_->Handle(consensus::Tick{}, now);
  UpdateMayStop();
  proposer_.Tick(now);
  ExpireInForceChecks(now);
  AnswerFleetReads(now);
  AnswerLeaves(now);
  PublishLeadership();
  ProbeOverdue(now);
  if (parent_) {
    FollowParent(now);
  } else {
    if (now >= next_config_poll_) PollConfig(now);
    if (now >= next_roster_poll_) PollRoster(now);
  }
  if (now >= next_gossip_) GossipHosts(now);
  if (uses_seeds()) FollowHosts(now);
  ReviewConfirmation(now);
  ReviewQuarantines(now);
  if (sink_.decide_claim) Register(now);
  EndSilentIncarnations(now);
  PublishAdmission(now);
  PublishRoster(now);
  PublishHosts(now);
  const core::Duration pause = parent_ ? kFollowerTick : kControlTick;
  next_tick_ = Now() + pause;
  timer_.expires_after(pause);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

void ControlNode::ReportMessages(core::Instant now) {
  if (now < next_message_report_) return;
  next_message_report_ = now + internal::kMessageReportInterval;
  const auto count = [this](std::string_view direction,
                            const MessageStats::Counts& counts) {
    for (std::size_t kind = 0; kind < counts.size(); ++kind) {
      const MessageCount& item = counts.at(kind);
      if (item.messages == 0) continue;
      const std::string labels = "direction=\"" + std::string(direction) +
                                 "\",kind=\"" +
                                 std::string(MessageKindName(kind)) + "\"";
      Count("foxquay_peer_messages_total", labels, item.messages);
      Count("foxquay_peer_bytes_total", labels, item.bytes);
    }
  };
  count("sent", message_stats_.sent());
  count("received", message_stats_.received());
  const std::uint64_t dropped = polls_.TakeDropped();
  if (dropped > 0) Count("foxquay_polls_dropped_total", "", dropped);
  if (replica_) {
    log::Write(log::Level::kInfo, "peer_messages",
               {{"sent", FormatCounts(message_stats_.sent())},
                {"received", FormatCounts(message_stats_.received())},
                {"longest_ms", core::ToMilliseconds(message_stats_.longest())},
                {"longest_kind",
                 std::string(MessageKindName(message_stats_.longest_kind()))},
                {"delay_ms", core::ToMilliseconds(message_stats_.delay())},
                {"polls_waiting", polls_.size()},
                {"polls_dropped", dropped}});
  }
  ReportFeeds();
  message_stats_.Reset();
}

void ControlNode::ReportFeeds() {
  const roster::FeedStats stats = roster_.TakeStats();
  for (std::size_t index = 0; index < stats.updates.size(); ++index) {
    const roster::UpdateCount& count = stats.updates.at(index);
    if (count.updates == 0) continue;
    const std::string reason(
        roster::Name(static_cast<roster::UpdateReason>(index)));
    Count("foxquay_feed_items_total",
          "reason=\"" + reason + "\",item=\"upstream\"", count.upstreams);
    Count("foxquay_feed_items_total", "reason=\"" + reason + "\",item=\"host\"",
          count.hosts);
  }
  for (std::size_t index = 0; index < stats.changes.size(); ++index) {
    if (stats.changes.at(index) == 0) continue;
    const std::string change(
        roster::Name(static_cast<roster::FeedChange>(index)));
    Count("foxquay_feed_changes_total", "change=\"" + change + "\"",
          stats.changes.at(index));
  }
  if (!replica_) return;
  log::Write(log::Level::kInfo, "feed_updates",
             {{"sent", roster::FormatUpdates(stats)},
              {"changes", roster::FormatChanges(stats)}});
}

core::HostId ControlNode::KnownLeader() const {
  if (replica_) {
    core::HostId leader = replica_->leader();
    if (!leader.empty()) return leader;
  }
  return proposer_.leader();
}

void ControlNode::SyncObserver() {
  if (!replica_) return;
  const core::Instant now = Now();
  synced_at_ = now;
  const core::HostId leader = replica_->leader();
  if (!leader.empty()) proposer_.SetLeader(leader);
  if (replica_->leads() != was_leader_) {
    was_leader_ = replica_->leads();
    leader_since_ = now;
    last_config_poll_.clear();
  }
  observer_.Sync(replica_->state(), replica_->Age(now), now);
  PublishPolicy();
}

http::EntryAnswer ControlNode::Entry(
    const core::DataCentreId& data_centre) const {
  const std::shared_ptr<const Shared> shared = shared_.load();
  if (!settings_.join.seeds.empty() && !shared->connected) return {};
  const core::DataCentreId& nearest =
      data_centre.empty() ? settings_.host.data_centre : data_centre;
  const entry::Answer chosen =
      entry::ChooseAddresses(ToEntryHosts(shared->hosts), nearest,
                             shared->distances, shared->entry_ttl);
  http::EntryAnswer answer;
  answer.ttl = chosen.ttl;
  for (const entry::Address& address : chosen.addresses) {
    answer.addresses.push_back({address.host.value(), address.address,
                                address.data_centre.value(), address.weight});
  }
  return answer;
}

void ControlNode::StartDrain() {
  boost::asio::post(context_, [this] {
    draining_ = true;
    const core::Instant now = Now();
    if (parent_) {
      FollowParent(now);
    } else {
      PollRoster(now);
    }
    next_hosts_review_ = now;
    PublishHosts(now);
  });
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
  const std::uint64_t number = next_in_force_check_++;
  in_force_checks_[number] = {now + internal::kInForceTimeout, std::move(done)};
  Send(leader, schema::InForceRequest{incarnation_, number, sequence});
}

void ControlNode::ExpireInForceChecks(core::Instant now) {
  for (auto check = in_force_checks_.begin();
       check != in_force_checks_.end();) {
    if (now < check->second.deadline) {
      ++check;
      continue;
    }
    const InForceDone done = std::move(check->second.done);
    check = in_force_checks_.erase(check);
    done(make_error_code(core::Error::kUnavailable));
  }
}

void ControlNode::AwaitApplied(std::uint64_t sequence, core::Duration timeout) {
  const core::Instant deadline = Now() + timeout;
  while (Now() < deadline && !Call([this, sequence] {
           return observer_.config().sequence() >= sequence;
         })) {
    std::this_thread::sleep_for(internal::kInForcePollInterval);
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
    std::this_thread::sleep_for(internal::kInForcePollInterval);
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
    status.hosts = hosts_.Views(now);
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
