#include "world.h"

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

World::World(std::size_t founders, std::size_t standbys,
             core::Duration max_election, std::size_t voters) {
  options_.voters = voters;
  options_.timing.max_election = max_election;
  options_.limits.snapshot_entries = 12;
  options_.limits.trailing_entries = 4;
  options_.limits.max_chunk_bytes = 9;
  options_.limits.max_append_entries = 5;
  nodes_.resize(founders + standbys);
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    Node& node = nodes_[index];
    node.id = {core::HostId("h" + std::to_string(index)), ++serial_};
    auto& hosts = index < founders ? options_.founders : options_.standbys;
    hosts.push_back(node.id.host);
    node.rate = 0.99 + 0.01 * static_cast<double>(index % 3);
  }
  for (std::size_t index = 0; index < nodes_.size(); ++index) Start(index);
}

bool World::Roll(int percent) {
  return std::uniform_int_distribution<int>(1, 100)(random_) <= percent;
}

core::Instant World::Clock(const Node& node) const {
  const auto since = static_cast<double>(real_.time_since_epoch().count());
  return core::Instant(node.offset +
                       core::Duration(std::llround(since * node.rate)));
}

void World::Start(std::size_t index) {
  Node& node = nodes_[index];
  // The clock starts anew, as after a reboot.
  node.offset = std::chrono::milliseconds((++serial_ * 7919) % 100000);
  node.machine = {};
  Options options = options_;
  options.self = node.id;
  options.seed = serial_;
  node.replica.emplace(options, node.disk, Clock(node));
}

void World::WriteTo(PersistentState& disk, const Write& write) {
  const auto append = [&disk](const schema::LogRecord& record) {
    disk.term = record.term;
    disk.vote = record.vote;
    disk.entries.resize(record.first - disk.snapshot.meta.index - 1);
    disk.entries.insert(disk.entries.end(), record.entries.begin(),
                        record.entries.end());
  };
  std::visit(Overloaded{[&](const Persist& p) { append(p.record); },
                        [&](const SaveSnapshot& save) {
                          disk.snapshot = save.snapshot;
                          disk.entries.clear();
                          for (const auto& r : save.log) append(r);
                        }},
             write);
}

void World::Kill(Node& node, std::size_t surviving) {
  if (!node.replica) return;
  node.replica.reset();
  surviving %= node.unsynced.size() + 1;
  for (std::size_t i = 0; i < surviving; ++i) {
    WriteTo(node.disk, node.unsynced[i]);
  }
  node.unsynced.clear();
  node.proposals.clear();
  node.frozen = false;
  node.wants_snapshot = false;
}

bool World::MayWipe(const Node& node) const {
  // Losing the disks of a majority loses the group, whatever it does; so may a
  // second loss before the leader can notice the first.
  if (real_ - last_wipe_ < std::chrono::seconds(2)) return false;
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
    const bool on_disk = keeps_quorum(LastConfiguration(other.disk));
    return on_disk &&
           (!other.replica || keeps_quorum(other.replica->configuration()));
  });
}

void World::Wipe(std::size_t index) {
  Node& node = nodes_[index];
  if (!MayWipe(node)) return;
  last_wipe_ = real_;
  Kill(node, 0);
  node.disk = {};
  node.id.incarnation = ++serial_;
  Start(index);
}

std::size_t World::Target(const Fault& fault) const {
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

void World::Inject(const Fault& fault) {
  const std::size_t index = Target(fault);
  Node& node = nodes_[index];
  switch (fault.kind) {
    case FaultKind::kNone:
      break;
    case FaultKind::kKill:
      Kill(node, fault.detail);
      break;
    case FaultKind::kReboot:
      Kill(node, fault.detail);
      Start(index);
      break;
    case FaultKind::kFreeze:
      node.frozen = node.replica.has_value();
      break;
    case FaultKind::kCut:
      cuts_.emplace(index, fault.detail % nodes_.size());
      break;
    case FaultKind::kIsolate:
      for (std::size_t other = 0; other < nodes_.size(); ++other) {
        cuts_.emplace(index, other);
        cuts_.emplace(other, index);
      }
      break;
    case FaultKind::kLose:
      loss_percent_ = static_cast<int>(fault.detail % 40);
      break;
    case FaultKind::kDelay:
      delay_percent_ = static_cast<int>(fault.detail % 40);
      break;
    case FaultKind::kRival:
      rival_armed_ = true;
      break;
    case FaultKind::kPower:
      for (std::size_t other = 0; other < nodes_.size(); ++other) {
        Kill(nodes_[other], other == index ? fault.detail : 0);
        if (other != fault.detail % nodes_.size()) Start(other);
      }
      break;
    case FaultKind::kStall:
      node.stalled = true;
      break;
    case FaultKind::kWipe:
      Wipe(index);
      break;
  }
}

void World::Recover(int percent, std::uint32_t seed) {
  random_.seed(seed);
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    Node& node = nodes_[index];
    if (!node.replica && Roll(percent)) Start(index);
    if (Roll(percent)) node.frozen = false;
    if (Roll(percent)) node.stalled = false;
  }
  std::erase_if(cuts_, [&](const auto&) { return Roll(percent); });
  if (Roll(percent)) loss_percent_ = 0;
  if (Roll(percent)) delay_percent_ = 2;
}

void World::Run(std::chrono::milliseconds span, std::uint32_t seed) {
  random_.seed(seed);
  for (auto left = span; left.count() > 0; left -= kStep) Step();
}

void World::Step() {
  real_ += kStep;
  if (rival_armed_) HoldRival();
  DeliverSome();
  ProposeSome();
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    Node& node = nodes_[index];
    if (!node.replica || node.frozen) continue;
    if (!node.stalled && Roll(25)) SyncSome(index);
    if (node.wants_snapshot && Roll(20)) {
      node.wants_snapshot = false;
      Handle(index, SnapshotTaken{node.machine.index, node.machine.Save()});
    }
    if (Clock(node) >= node.replica->NextDeadline()) Handle(index, Tick{});
  }
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    Check(index, false);
  }
}

void World::HoldRival() {
  for (std::size_t winner = 0; winner < nodes_.size(); ++winner) {
    for (Node& rival : nodes_) {
      const auto& leader = nodes_[winner].replica;
      const bool split = leader && rival.replica &&
                         leader->role() == Role::kLeader &&
                         rival.replica->role() == Role::kCandidate &&
                         rival.replica->term() == leader->term();
      if (!split) continue;
      rival_armed_ = false;
      rival.frozen = true;
      Inject({FaultKind::kIsolate, winner, 0});
      for (std::size_t other = 0; other < nodes_.size(); ++other) {
        const bool voter = other != winner && &nodes_[other] != &rival;
        if (voter) Inject({FaultKind::kReboot, other, 0});
      }
      return;
    }
  }
}

void World::DeliverSome() {
  std::vector<Flying> flying = std::exchange(bag_, {});
  std::shuffle(flying.begin(), flying.end(), random_);
  for (Flying& item : flying) {
    const Node& to = nodes_[item.to];
    const bool reachable = to.replica && !to.frozen;
    if (cuts_.contains({item.from, item.to})) continue;
    if (item.due > real_ || (to.replica && to.frozen) || Roll(30)) {
      bag_.push_back(std::move(item));
      continue;
    }
    if (!reachable || Roll(loss_percent_)) continue;
    if (Roll(5)) bag_.push_back(item);
    Handle(item.to, Received{std::move(item.message)});
  }
}

void World::SyncSome(std::size_t index) {
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

void World::ProposeSome() {
  if (!proposing_ || !Roll(20)) return;
  const std::size_t index = random_() % nodes_.size();
  Node& node = nodes_[index];
  if (!node.replica || node.frozen) return;
  const ProposalId id(++serial_);
  node.proposals[id] = "p" + std::to_string(serial_);
  // Wall clocks differ and jump; the log has to keep them in order.
  const core::WallTime wall(std::chrono::milliseconds(random_() % 1000));
  Handle(index, Propose{id, node.proposals[id], wall});
}

void World::Handle(std::size_t index, const Event& event) {
  Node& node = nodes_[index];
  const std::vector<Action> actions = node.replica->Handle(event, Clock(node));
  const bool advanced = node.replica->role() == Role::kLeader &&
                        oracle_.Advanced(node.replica->commit(), real_);
  for (const Action& action : actions) Perform(index, action);
  Check(index, advanced);
}

void World::Perform(std::size_t index, const Action& action) {
  Node& node = nodes_[index];
  std::visit(
      Overloaded{
          [&](const Persist& write) { node.unsynced.emplace_back(write); },
          [&](const SaveSnapshot& write) { node.unsynced.emplace_back(write); },
          [&](const Send& send) { Transmit(index, send); },
          [&](const Apply& apply) {
            node.machine.Apply(apply.index, apply.payload);
            oracle_.Applied(node.machine, apply.wall, apply.payload);
          },
          [&](const Restore& restore) {
            node.machine.Load(restore.data);
            oracle_.Restored(restore.index, node.machine);
          },
          [&](const ProposalDecided& decided) {
            const std::string& payload = node.proposals[decided.id];
            if (!decided.error) oracle_.Committed(decided.index, payload);
            if (decided.error == Error::kNotLeader) oracle_.Refused(payload);
            node.proposals.erase(decided.id);
          },
          [&](const TakeSnapshot&) { node.wants_snapshot = true; },
          [](const auto&) {}},
      action);
}

void World::Transmit(std::size_t index, const Send& send) {
  const auto to =
      std::find_if(nodes_.begin(), nodes_.end(),
                   [&](const Node& node) { return node.id.host == send.to; });
  Flying flying{real_, index, static_cast<std::size_t>(to - nodes_.begin()),
                send.message};
  if (Roll(delay_percent_)) {
    flying.due += std::chrono::milliseconds(random_() % 1000);
  }
  const auto* vote = std::get_if<schema::VoteRequest>(&send.message);
  if (rival_armed_ && vote != nullptr && !vote->pre) {
    bag_.push_back(flying);
    flying.due = real_ + std::chrono::milliseconds(700);
  }
  if (Roll(1)) flying.due += std::chrono::seconds(random_() % 8);
  bag_.push_back(std::move(flying));
}

void World::Check(std::size_t index, bool advanced) {
  const Node& node = nodes_[index];
  if (!node.replica) return;
  CheckConfirmed(node);
  if (node.replica->role() != Role::kLeader) return;
  const Term term = node.replica->term();
  oracle_.Leads(term, node.id);
  for (const Node& other : nodes_) {
    if (!other.replica || &other == &node) continue;
    const bool leased = other.replica->HoldsLease(Clock(other));
    if (advanced && leased && other.replica->term() < term) {
      oracle_.Fail("a new leader commits within the lease of the old one");
    }
    if (leased && node.replica->HoldsLease(Clock(node))) {
      oracle_.Fail("two leases at once");
    }
  }
}

void World::CheckConfirmed(const Node& node) {
  const auto confirmed = node.replica->FreshAsOf();
  if (!confirmed) return;
  const auto since = confirmed->time_since_epoch() - node.offset;
  const core::Instant real(core::Duration(
      std::llround(static_cast<double>(since.count()) / node.rate) - 1));
  if (node.replica->applied() < oracle_.CommittedBefore(real)) {
    oracle_.Fail("a confirmed state lacks a committed entry");
  }
}

bool World::Settled() const {
  std::size_t voters = 0;
  const Node* leader = nullptr;
  for (const Node& node : nodes_) {
    if (node.replica->role() == Role::kLeader) leader = &node;
  }
  if (leader == nullptr) return false;
  for (const Node& node : nodes_) {
    if (node.replica->configuration() != leader->replica->configuration()) {
      return false;
    }
    if (node.replica->commit() < oracle_.commit()) return false;
    if (node.machine.hash != leader->machine.hash) return false;
    if (node.replica->role() != Role::kLearner) ++voters;
  }
  return voters == std::max(options_.founders.size(), options_.voters);
}

std::string World::Describe() const {
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
  }
  return out.str();
}

void World::Settle() {
  Recover(100, 0);
  rival_armed_ = false;
  const Index before = oracle_.commit();
  constexpr int kMaxRounds = 120;
  for (int round = 0; round < kMaxRounds; ++round) {
    Run(std::chrono::milliseconds(250), static_cast<std::uint32_t>(round));
    if (!oracle_.violation().empty()) return;
    proposing_ = oracle_.commit() <= before + 1;
    if (!proposing_ && Settled()) return;
  }
  oracle_.Fail("the group did not recover within 30 s:" + Describe());
}

}  // namespace foxquay::consensus
