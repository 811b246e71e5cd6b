#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "member.h"

namespace foxquay::consensus {
namespace {

using std::chrono::milliseconds;

/// Replicas of which all know only the first, as hosts that find each other
/// through seeds do.
class SeededGroup {
 public:
  void Add(const std::string& name) {
    Options options;
    options.self = {core::HostId(name), 1};
    options.founders = {core::HostId("seed")};
    options.standbys = {core::HostId("seed")};
    options.voters = 3;
    options.seed = members_.size() + 1;
    members_.try_emplace(name, std::move(options));
  }

  /// Advances the time; replicas in `cut` neither get nor send messages.
  void Run(milliseconds span, const std::set<std::string>& cut = {}) {
    for (const core::Instant end = now_ + span; now_ < end;) {
      now_ += milliseconds(10);
      for (auto& [name, member] : members_) member.Handle(Tick{}, now_);
      for (auto& [name, member] : members_) {
        for (Send& send : std::exchange(member.sent, {})) {
          const auto to = members_.find(send.to.value());
          const bool lost = cut.contains(name) || cut.contains(send.to.value());
          if (to == members_.end() || lost) continue;
          to->second.Handle(Received{std::move(send.message)}, now_);
        }
      }
    }
  }

  [[nodiscard]] bool Leads(const std::string& name) const {
    return members_.at(name).replica().role() == Role::kLeader;
  }
  [[nodiscard]] std::size_t Voters(const std::string& name) const {
    return members_.at(name).replica().configuration().voters.size();
  }

 private:
  std::map<std::string, Member> members_;
  core::Instant now_ = core::Instant(std::chrono::seconds(1));
};

/// The first founder of a group of three founders and three standbys, with an
/// empty disk.
class FirstFounder {
 public:
  FirstFounder() : member_(MakeOptions()) {}

  /// Delivers the answer of a host to a request to join.
  void Answer(const std::string& host, bool fresh) {
    schema::JoinReply reply;
    reply.header.from = {core::HostId(host), 2};
    reply.header.to = MakeOptions().self;
    reply.fresh = fresh;
    member_.Handle(Received{reply}, core::Instant(std::chrono::seconds(1)));
  }

  [[nodiscard]] bool HasGroup() const {
    return !member_.replica().configuration().voters.empty();
  }

 private:
  static Options MakeOptions() {
    Options options;
    options.self = {core::HostId("h0"), 1};
    for (const char* host : {"h0", "h1", "h2"}) {
      options.founders.emplace_back(host);
    }
    for (const char* host : {"h3", "h4", "h5"}) {
      options.standbys.emplace_back(host);
    }
    options.voters = 5;
    return options;
  }

  Member member_;
};

}  // namespace

// Guards against a second group beside the first one, which loses what that has
// committed, after standbys have replaced all founders.
TEST_CASE("founders that lost their disks in turn do not form a second group") {
  FirstFounder founder;
  founder.Answer("h1", true);
  founder.Answer("h2", true);
  CHECK_FALSE(founder.HasGroup());
  founder.Answer("h3", true);
  CHECK_FALSE(founder.HasGroup());
  SECTION("the group has its quorum among the other standbys") {
    founder.Answer("h4", false);
    founder.Answer("h5", true);
    CHECK_FALSE(founder.HasGroup());
  }
  SECTION("no other standby can be a quorum alone") {
    founder.Answer("h4", true);
    CHECK(founder.HasGroup());
  }
}

// Guards against a lost replica that is never replaced: those that would join
// ask only the hosts that they know, of which none leads.
TEST_CASE("a replica joins although no host that it knows leads") {
  SeededGroup group;
  group.Add("seed");
  group.Add("other");
  group.Add("third");
  group.Run(std::chrono::seconds(5));
  REQUIRE(group.Voters("seed") == 3);
  for (int attempt = 0; attempt < 20 && !group.Leads("other"); ++attempt) {
    const std::string leader = group.Leads("seed") ? "seed" : "third";
    group.Run(milliseconds(2500), {leader});
    group.Run(milliseconds(500));
  }
  REQUIRE(group.Leads("other"));
  // A host that was lost is replaced by one that comes now.
  group.Add("late");
  group.Run(std::chrono::seconds(20), {"third"});
  REQUIRE(group.Leads("other"));
  CHECK(group.Voters("late") == 3);
}

// A leader kept a place for each learner that had ever joined, so that after
// some thirty replacements a successor was not admitted.
TEST_CASE("a successor is admitted after many others have come and gone") {
  SeededGroup group;
  group.Add("seed");
  group.Add("other");
  group.Add("third");
  group.Run(std::chrono::seconds(5));
  std::set<std::string> gone;
  for (int number = 0; number < 40; ++number) {
    const std::string name = "late" + std::to_string(number);
    group.Add(name);
    group.Run(std::chrono::seconds(2), gone);
    REQUIRE(group.Voters(name) == 3);
    gone.insert(name);
  }
}

}  // namespace foxquay::consensus
