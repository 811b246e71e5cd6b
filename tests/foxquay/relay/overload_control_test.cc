#include "foxquay/relay/overload_control.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstddef>
#include <deque>
#include <random>
#include <set>
#include <vector>

namespace foxquay::relay {
namespace {

using std::chrono::milliseconds;

const core::ServiceId kModel("model");

constexpr std::size_t kRanks = 3;

/// Returns the requests that the upstreams of a fleet of this size hold.
double RoomOf(std::size_t hosts) {
  return std::max(500.0, 10 * static_cast<double>(hosts));
}

/// Requests of one rank.
struct Tally {
  double asked = 0;
  double admitted = 0;

  [[nodiscard]] double Share() const { return admitted / asked; }
};

/// Hosts before upstreams that hold a number of requests. A request lasts one
/// to seven seconds; hosts learn how many are open half a second late.
class Fleet {
 public:
  Fleet(std::size_t hosts, double begin, double room)
      : room_(room), due_(kRanks, 0) {
    for (std::size_t index = 0; index < hosts; ++index) {
      controls_.emplace_back(index + 1);
      controls_.back().SetBegin(begin);
    }
  }

  /// Lets requests of each rank arrive at rates relative to the room, in
  /// requests that are open if all are admitted.
  void Run(const std::array<double, kRanks>& load, milliseconds duration) {
    constexpr milliseconds kStep{10};
    constexpr milliseconds kMeanLength{4000};
    constexpr std::size_t kLag = 50;
    tallies_ = {};
    largest_ = 0;
    for (const milliseconds end = at_ + duration; at_ < end; at_ += kStep) {
      ends_.erase(ends_.begin(), ends_.upper_bound(at_));
      reports_.push_back(static_cast<double>(ends_.size()));
      if (reports_.size() > kLag) reports_.pop_front();
      largest_ = std::max(largest_, reports_.back() / room_);
      for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
        due_[rank] += load.at(rank) * room_ * kStep / kMeanLength;
        for (; due_[rank] >= 1; --due_[rank]) {
          OverloadControl& control = controls_[next_++ % controls_.size()];
          ++tallies_.at(rank).asked;
          if (!control.Admit(kModel, rank, reports_.front() / room_,
                             core::Instant(at_))) {
            continue;
          }
          ++tallies_.at(rank).admitted;
          ends_.insert(at_ + milliseconds(length_(random_)));
        }
      }
    }
  }

  [[nodiscard]] const Tally& tally(std::size_t rank) const {
    return tallies_.at(rank);
  }
  [[nodiscard]] double Admitted() const {
    double sum = 0;
    for (const Tally& tally : tallies_) sum += tally.admitted;
    return sum;
  }
  /// Returns the largest number of open requests in the last run, relative to
  /// the room.
  [[nodiscard]] double largest() const { return largest_; }

 private:
  double room_;
  std::vector<OverloadControl> controls_;
  std::vector<double> due_;
  std::multiset<milliseconds> ends_;
  std::mt19937 random_{20261206};
  std::uniform_int_distribution<int> length_{1000, 7000};
  std::deque<double> reports_;
  std::array<Tally, kRanks> tallies_{};
  double largest_ = 0;
  milliseconds at_{0};
  std::size_t next_ = 0;
};

}  // namespace

// Guards against a crest at which all requests are admitted and all are late.
TEST_CASE("open requests stay within the room at one and a half times it") {
  for (const std::size_t hosts : {8, 111, 730}) {
    CAPTURE(hosts);
    const double room = RoomOf(hosts);
    constexpr std::array<double, kRanks> kLoad = {0.75, 0.45, 0.3};
    Fleet fleet(hosts, 0.9, room);
    fleet.Run(kLoad, std::chrono::seconds(8));
    fleet.Run(kLoad, std::chrono::seconds(20));
    CHECK(fleet.largest() < 1.1);
    // The places are used: five times the room in 20 s of 4 s each.
    CHECK(fleet.Admitted() > 0.85 * 5 * room);
    CHECK(fleet.tally(0).Share() > fleet.tally(1).Share());
    CHECK(fleet.tally(1).Share() > fleet.tally(2).Share());
    CHECK(fleet.tally(2).Share() > 0.25 * fleet.Admitted() / (1.5 * 5 * room));
    Fleet plain(hosts, 0, room);
    plain.Run(kLoad, std::chrono::seconds(8));
    CHECK(plain.largest() > 1.4);
  }
}

// Guards against a burst of unhurried requests that displaces urgent ones.
TEST_CASE("a burst of the least urgent rank costs the others nothing") {
  for (const std::size_t hosts : {8, 111, 730}) {
    CAPTURE(hosts);
    Fleet fleet(hosts, 0.9, RoomOf(hosts));
    fleet.Run({0.4, 0.25, 0.15}, std::chrono::seconds(10));
    CHECK(fleet.tally(2).Share() == 1);
    fleet.Run({0.4, 0.25, 0.5}, std::chrono::seconds(10));
    CHECK(fleet.tally(0).Share() > 0.98);
    CHECK(fleet.tally(1).Share() > 0.95);
    CHECK(fleet.tally(2).Share() > 0.25);
    CHECK(fleet.tally(2).Share() < 0.9);
  }
}

TEST_CASE("without a limit no request is refused") {
  OverloadControl control(1);
  for (int request = 0; request < 100; ++request) {
    CHECK(control.Admit(kModel, 9, 100, core::Instant()));
  }
  CHECK(control.TakeChanges().empty());
}

TEST_CASE("callers that are refused together come back one after the other") {
  OverloadControl control(1);
  control.SetBegin(0.9);
  const core::Instant now(std::chrono::seconds(10));
  for (int request = 0; request < 100; ++request) {
    (void)control.Admit(kModel, 0, 0.5, now);
  }
  std::set<core::Duration> times;
  for (int refused = 0; refused < 10; ++refused) {
    times.insert(control.ReturnTime(kModel, now));
  }
  CHECK(times.size() == 10);
  CHECK(*times.begin() >= milliseconds(1500));
  CHECK(*times.rbegin() <= milliseconds(6000));
}

TEST_CASE("the beginning and the end of refusals are reported once") {
  OverloadControl control(1);
  control.SetBegin(0.9);
  for (const double use : {0.5, 1.0, 1.0, 0.5, 0.5}) {
    (void)control.Admit(kModel, 0, use, core::Instant());
  }
  const auto changes = control.TakeChanges();
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].overloaded);
  CHECK_FALSE(changes[1].overloaded);
  CHECK(control.TakeChanges().empty());
}

}  // namespace foxquay::relay
