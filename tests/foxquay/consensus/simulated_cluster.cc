#include "simulated_cluster.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <system_error>

#include "foxquay/consensus/error.h"
#include "foxquay/consensus/log.h"
#include "foxquay/consensus/quorum.h"
#include "foxquay/schema/codec.h"

namespace foxquay::consensus {
namespace {

constexpr std::chrono::milliseconds kStep(5);

template <class... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

schema::Configuration LastConfiguration(const PersistentState& disk) {
  const internal::Log log(disk.snapshot.meta, disk.entries);
  return log.configuration();
}

}  // namespace

SimulatedCluster::SimulatedCluster(std::size_t founders, std::size_t standbys,
                                   core::Duration max_election,
                                   std::size_t voters,
                                   std::size_t snapshot_entries) {
  options_.voters = voters;
  options_.timing.max_election = max_election;
  options_.limits.snapshot_entries = snapshot_entries;
  options_.limits.trailing_entries = 4;
  options_.limits.max_chunk_bytes = 9;
  options_.limits.max_append_entries = 5;
  nodes_.resize(founders + standbys);
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    Node& node = nodes_[index];
    node.id = {core::HostId("h" + std::to_string(index)), ++serial_};
    auto& hosts = index < founders ? options_.founders : options_.standbys;
    hosts.push_back(node.id.host);
    node.clock_rate = 0.99 + 0.01 * static_cast<double>(index % 3);
  }
  for (std::size_t index = 0; index < nodes_.size(); ++index) Start(index);
}

bool SimulatedCluster::Chance(int percent) {
  return std::uniform_int_distribution<int>(1, 100)(random_) <= percent;
}

core::Instant SimulatedCluster::LocalTime(const Node& node) const {
  const auto since = static_cast<double>(real_time_.time_since_epoch().count());
  return core::Instant(node.clock_offset +
                       core::Duration(std::llround(since * node.clock_rate)));
}

void SimulatedCluster::Start(std::size_t index) {
  Node& node = nodes_[index];
  // The clock starts at an arbitrary value, as after a reboot.
  node.clock_offset = std::chrono::milliseconds((++serial_ * 7919) % 100000);
  node.machine = {};
  Options options = options_;
  options.self = node.id;
  options.seed = serial_;
  node.replica.emplace(options, node.disk, LocalTime(node));
}

void SimulatedCluster::WriteTo(PersistentState& disk, const Write& write) {
  const auto append = [&disk](const schema::LogRecord& record) {
    disk.term = record.term;
    disk.vote = record.vote;
    disk.entries.resize(record.first - disk.snapshot.meta.index - 1);
    disk.entries.insert(disk.entries.end(), record.entries.begin(),
                        record.entries.end());
  };
  std::visit(Overloaded{[&](const Persist& p) { append(p.record); },
                        [&](const SaveSnapshot& save) {
                          // Every other one has no room.
                          const bool fits = save.write_id.value() % 2 == 0;
                          if (save.covered && !fits) return;
                          disk.snapshot = save.snapshot;
                          disk.entries.clear();
                          for (const auto& r : save.log) append(r);
                        }},
             write);
}

void SimulatedCluster::Crash(Node& node, std::size_t synced_writes) {
  if (!node.replica) return;
  node.replica.reset();
  synced_writes %= node.unsynced.size() + 1;
  for (std::size_t i = 0; i < synced_writes; ++i) {
    WriteTo(node.disk, node.unsynced[i]);
  }
  node.unsynced.clear();
  node.proposals.clear();
  node.paused = false;
  node.wants_snapshot = false;
}

bool SimulatedCluster::MayLoseDisk(const Node& node) const {
  // No protocol survives the loss of a majority of the disks, and a second loss
  // before the leader notices the first one may amount to that.
  if (real_time_ - last_disk_loss_ < std::chrono::seconds(2)) return false;
  const auto keeps_quorum = [&](const schema::Configuration& configuration) {
    if (configuration.voters.empty()) return true;
    return internal::QuorumValue<int>(
               configuration,
               [&](const schema::ReplicaId& id) -> std::optional<int> {
                 const bool intact =
                     id != node.id &&
                     std::any_of(nodes_.begin(), nodes_.end(),
                                 [&](const Node& n) { return n.id == id; });
                 return intact ? std::optional(1) : std::nullopt;
               })
        .has_value();
  };
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& other) {
    const bool disk_keeps_quorum = keeps_quorum(LastConfiguration(other.disk));
    return disk_keeps_quorum &&
           (!other.replica || keeps_quorum(other.replica->configuration()));
  });
}

void SimulatedCluster::LoseDisk(std::size_t index) {
  Node& node = nodes_[index];
  if (!MayLoseDisk(node)) return;
  last_disk_loss_ = real_time_;
  EraseDisk(index);
}

void SimulatedCluster::EraseDisk(std::size_t index) {
  Node& node = nodes_[index];
  Crash(node, 0);
  node.disk = {};
  node.id.incarnation = ++serial_;
  Start(index);
}

void SimulatedCluster::Retire(std::size_t index) {
  Handle(index, consensus::Retire{});
}

void SimulatedCluster::Remove(std::size_t index) {
  Crash(nodes_[index], 0);
  nodes_[index].removed = true;
}

bool SimulatedCluster::Votes(std::size_t index) const {
  const auto& replica = nodes_[leader()].replica;
  return replica &&
         internal::ContainsVoter(replica->configuration(), nodes_[index].id);
}

std::size_t SimulatedCluster::Target(const Fault& fault) const {
  std::size_t target = fault.replica % nodes_.size();
  if (fault.replica < Fault::kLeader) return target;
  Term latest = 0;
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    const auto& replica = nodes_[index].replica;
    const bool leads = replica && replica->role() == Role::kLeader;
    if (!leads || replica->term() < latest) continue;
    latest = replica->term();
    target = index;
  }
  return target;
}

void SimulatedCluster::Inject(const Fault& fault) {
  const std::size_t index = Target(fault);
  Node& node = nodes_[index];
  switch (fault.kind) {
    case FaultKind::kNone:
      break;
    case FaultKind::kCrash:
      Crash(node, fault.detail);
      break;
    case FaultKind::kRestart:
      Crash(node, fault.detail);
      Start(index);
      break;
    case FaultKind::kPause:
      node.paused = node.replica.has_value();
      break;
    case FaultKind::kCutLink:
      cut_links_.emplace(index, fault.detail % nodes_.size());
      break;
    case FaultKind::kIsolate:
      for (std::size_t other = 0; other < nodes_.size(); ++other) {
        cut_links_.emplace(index, other);
        cut_links_.emplace(other, index);
      }
      break;
    case FaultKind::kLoseMessages:
      loss_percent_ = static_cast<int>(fault.detail % 40);
      break;
    case FaultKind::kDelayMessages:
      delay_percent_ = static_cast<int>(fault.detail % 40);
      break;
    case FaultKind::kSplitVote:
      split_vote_armed_ = true;
      break;
    case FaultKind::kPowerLoss:
      for (std::size_t other = 0; other < nodes_.size(); ++other) {
        Crash(nodes_[other], other == index ? fault.detail : 0);
        if (other != fault.detail % nodes_.size()) Start(other);
      }
      break;
    case FaultKind::kStallSyncs:
      node.syncs_stalled = true;
      break;
    case FaultKind::kLoseDisk:
      LoseDisk(index);
      break;
  }
}

void SimulatedCluster::Recover(int percent, std::uint32_t seed) {
  random_.seed(seed);
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    Node& node = nodes_[index];
    if (!node.replica && !node.removed && Chance(percent)) Start(index);
    if (Chance(percent)) node.paused = false;
    if (Chance(percent)) node.syncs_stalled = false;
  }
  std::erase_if(cut_links_, [&](const auto&) { return Chance(percent); });
  if (Chance(percent)) loss_percent_ = 0;
  if (Chance(percent)) delay_percent_ = 2;
}

void SimulatedCluster::Run(std::chrono::milliseconds span, std::uint32_t seed) {
  random_.seed(seed);
  for (auto left = span; left.count() > 0; left -= kStep) Step();
}

void SimulatedCluster::Step() {
  real_time_ += kStep;
  if (split_vote_armed_) InjectAtSplitVote();
  DeliverSome();
  ProposeSome();
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    Node& node = nodes_[index];
    if (!node.replica || node.paused) continue;
    if (!node.syncs_stalled && Chance(25)) SyncSome(index);
    if (node.wants_snapshot && Chance(20)) {
      node.wants_snapshot = false;
      Handle(index, SnapshotTaken{node.machine.index, node.machine.Save()});
    }
    if (LocalTime(node) >= node.replica->NextDeadline()) Handle(index, Tick{});
  }
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    Check(index, false);
  }
}

void SimulatedCluster::InjectAtSplitVote() {
  for (std::size_t leader_index = 0; leader_index < nodes_.size();
       ++leader_index) {
    for (Node& rival : nodes_) {
      const auto& leader = nodes_[leader_index].replica;
      const bool split = leader && rival.replica &&
                         leader->role() == Role::kLeader &&
                         rival.replica->role() == Role::kCandidate &&
                         rival.replica->term() == leader->term();
      if (!split) continue;
      split_vote_armed_ = false;
      rival.paused = true;
      Inject({FaultKind::kIsolate, leader_index, 0});
      for (std::size_t other = 0; other < nodes_.size(); ++other) {
        const bool voter = other != leader_index && &nodes_[other] != &rival;
        if (voter) Inject({FaultKind::kRestart, other, 0});
      }
      return;
    }
  }
}

void SimulatedCluster::DeliverSome() {
  std::vector<InFlightMessage> in_flight = std::exchange(in_flight_, {});
  std::shuffle(in_flight.begin(), in_flight.end(), random_);
  for (InFlightMessage& item : in_flight) {
    const Node& to = nodes_[item.to];
    const bool reachable = to.replica && !to.paused;
    if (cut_links_.contains({item.from, item.to})) continue;
    if (item.due > real_time_ || (to.replica && to.paused) || Chance(30)) {
      in_flight_.push_back(std::move(item));
      continue;
    }
    if (!reachable || Chance(loss_percent_)) continue;
    if (Chance(5)) in_flight_.push_back(item);
    Handle(item.to, Received{std::move(item.message)});
  }
}

void SimulatedCluster::SyncSome(std::size_t index) {
  Node& node = nodes_[index];
  if (node.unsynced.empty()) return;
  const std::size_t count = std::uniform_int_distribution<std::size_t>(
      1, node.unsynced.size())(random_);
  WriteId last;
  for (std::size_t i = 0; i < count; ++i) {
    WriteTo(node.disk, node.unsynced[i]);
    last = std::visit([](const auto& write) { return write.write_id; },
                      node.unsynced[i]);
  }
  node.unsynced.erase(
      node.unsynced.begin(),
      node.unsynced.begin() + static_cast<std::ptrdiff_t>(count));
  Handle(index, Persisted{last});
}

bool SimulatedCluster::ProposalIsDue() {
  if (!proposal_interval_) return Chance(20);
  if (real_time_ < next_proposal_) return false;
  next_proposal_ = real_time_ + *proposal_interval_;
  return true;
}

void SimulatedCluster::ProposeSome() {
  if (!proposing_ || !ProposalIsDue()) return;
  const std::size_t any = random_() % nodes_.size();
  const std::size_t index =
      proposal_interval_ ? Target({FaultKind::kNone, Fault::kLeader, 0}) : any;
  Node& node = nodes_[index];
  if (!node.replica || node.paused) return;
  const ProposalId id(++serial_);
  node.proposals[id] = "p" + std::to_string(serial_);
  // Wall clocks differ and jump; the log must still hold ascending times.
  const core::WallTime wall(std::chrono::milliseconds(random_() % 1000));
  Handle(index, Propose{id, node.proposals[id], wall});
}

void SimulatedCluster::Handle(std::size_t index, const Event& event) {
  Node& node = nodes_[index];
  const std::vector<Action> actions =
      node.replica->Handle(event, LocalTime(node));
  const bool advanced =
      node.replica->role() == Role::kLeader &&
      oracle_.RecordCommit(node.replica->commit(), real_time_);
  for (const Action& action : actions) Perform(index, action);
  Check(index, advanced);
}

void SimulatedCluster::Perform(std::size_t index, const Action& action) {
  Node& node = nodes_[index];
  std::visit(
      Overloaded{
          [&](const Persist& write) { node.unsynced.emplace_back(write); },
          [&](const SaveSnapshot& write) { node.unsynced.emplace_back(write); },
          [&](const Send& send) { Transmit(index, send); },
          [&](const Apply& apply) {
            node.machine.Apply(apply.index, apply.payload);
            oracle_.CheckApplied(node.machine, apply.wall, apply.payload);
          },
          [&](const Restore& restore) {
            node.machine.Load(restore.data);
            oracle_.CheckRestored(restore.index, node.machine);
          },
          [&](const ProposalDecided& decided) {
            const std::string& payload = node.proposals[decided.id];
            if (!decided.error) oracle_.CheckCommitted(decided.index, payload);
            if (!decided.error) ++decided_;
            if (decided.error == Error::kNotLeader) oracle_.Reject(payload);
            node.proposals.erase(decided.id);
          },
          [&](const TakeSnapshot&) { node.wants_snapshot = true; },
          [](const auto&) {}},
      action);
}

void SimulatedCluster::Transmit(std::size_t index, const Send& send) {
  const auto to =
      std::find_if(nodes_.begin(), nodes_.end(),
                   [&](const Node& node) { return node.id.host == send.to; });
  InFlightMessage message{real_time_, index,
                          static_cast<std::size_t>(to - nodes_.begin()),
                          send.message};
  message.due += min_delay_;
  if (Chance(delay_percent_)) {
    message.due += std::chrono::milliseconds(random_() % 1000);
  }
  const auto* vote = std::get_if<schema::VoteRequest>(&send.message);
  if (split_vote_armed_ && vote != nullptr && !vote->pre) {
    in_flight_.push_back(message);
    message.due = real_time_ + std::chrono::milliseconds(700);
  }
  if (Chance(1)) message.due += std::chrono::seconds(random_() % 8);
  in_flight_.push_back(std::move(message));
}

void SimulatedCluster::Check(std::size_t index, bool advanced) {
  const Node& node = nodes_[index];
  if (!node.replica) return;
  CheckFreshness(node);
  if (node.replica->role() != Role::kLeader) return;
  const Term term = node.replica->term();
  oracle_.CheckLeader(term, node.id);
  for (const Node& other : nodes_) {
    if (!other.replica || &other == &node) continue;
    const bool leased = other.replica->HoldsLease(LocalTime(other));
    if (advanced && leased && other.replica->term() < term) {
      oracle_.Fail("a new leader commits within the lease of the old one");
    }
    if (leased && node.replica->HoldsLease(LocalTime(node))) {
      oracle_.Fail("two replicas hold a lease at the same time");
    }
  }
}

void SimulatedCluster::CheckFreshness(const Node& node) {
  const auto fresh_as_of = node.replica->FreshAsOf();
  if (!fresh_as_of) return;
  const auto since = fresh_as_of->time_since_epoch() - node.clock_offset;
  const core::Instant real_time(core::Duration(
      std::llround(static_cast<double>(since.count()) / node.clock_rate) - 1));
  if (node.replica->applied() < oracle_.CommittedBefore(real_time)) {
    oracle_.Fail("a state reported as fresh lacks a committed entry");
  }
}

bool SimulatedCluster::HasConverged() const {
  std::size_t voters = 0;
  const Node* leader = nullptr;
  for (const Node& node : nodes_) {
    if (node.removed) continue;
    if (node.replica->role() == Role::kLeader) leader = &node;
  }
  if (leader == nullptr) return false;
  for (const Node& node : nodes_) {
    if (node.removed) continue;
    if (node.replica->configuration() != leader->replica->configuration()) {
      return false;
    }
    if (node.replica->commit() < oracle_.commit()) return false;
    if (node.machine.hash != leader->machine.hash) return false;
    if (node.replica->role() != Role::kLearner) ++voters;
  }
  return voters == std::max(options_.founders.size(), options_.voters);
}

std::string SimulatedCluster::Describe() const {
  std::ostringstream out;
  for (const Node& node : nodes_) {
    out << "\n" << node.id.host << "/" << node.id.incarnation;
    if (!node.replica) continue;
    out << " role " << static_cast<int>(node.replica->role()) << " term "
        << node.replica->term() << " commit " << node.replica->commit()
        << " applied " << node.replica->applied() << " voters";
    for (const auto& voter : node.replica->configuration().voters) {
      out << " " << voter.host << "/" << voter.incarnation;
    }
    const auto& previous = node.replica->configuration().previous;
    if (!previous.empty()) out << " previous";
    for (const auto& voter : previous) {
      out << " " << voter.host << "/" << voter.incarnation;
    }
  }
  return out.str();
}

void SimulatedCluster::CheckRecovery() {
  Recover(100, 0);
  split_vote_armed_ = false;
  const Index before = oracle_.commit();
  constexpr int kMaxRounds = 120;
  for (int round = 0; round < kMaxRounds; ++round) {
    Run(std::chrono::milliseconds(250), static_cast<std::uint32_t>(round));
    if (!oracle_.violation().empty()) return;
    proposing_ = oracle_.commit() <= before + 1;
    if (!proposing_ && HasConverged()) return;
  }
  oracle_.Fail("the group did not recover within 30 s:" + Describe());
}

}  // namespace foxquay::consensus
