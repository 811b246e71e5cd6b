#include "foxquay/membership/poll_queue.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

namespace foxquay::membership {
namespace {

using std::chrono::milliseconds;

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

core::HostId Host(int index) {
  return core::HostId("host-" + std::to_string(index));
}

}  // namespace

TEST_CASE("polls are answered in the order of arrival") {
  PollQueue<int> queue;
  queue.Push(Host(1), 1, At(0));
  queue.Push(Host(2), 2, At(1));
  CHECK(queue.Pop(At(2)) == 1);
  CHECK(queue.Pop(At(2)) == 2);
  CHECK(queue.Pop(At(2)) == std::nullopt);
  CHECK(queue.empty());
}

TEST_CASE("only the last poll of a host waits") {
  PollQueue<int> queue;
  queue.Push(Host(1), 1, At(0));
  queue.Push(Host(1), 2, At(1));
  CHECK(queue.size() == 1);
  CHECK(queue.Pop(At(2)) == 2);
  CHECK(queue.TakeDropped() == 1);
  CHECK(queue.TakeDropped() == 0);
}

// Guards against replies that all come too late: 200 hosts poll again as soon
// as they have waited for the validity of a poll, twice as fast as polls can be
// answered.
TEST_CASE("a part of the polls is answered in time at any load") {
  constexpr int kHosts = 200;
  constexpr milliseconds kAnswerTime{7};
  PollQueue<core::Instant> queue;
  int in_time = 0;
  int answered = 0;
  core::Instant free = At(0);
  for (int ms = 0; ms < 20'000; ++ms) {
    for (int host = 0; host < kHosts; ++host) {
      if (ms % 700 == host * 3) queue.Push(Host(host), At(ms), At(ms));
    }
    if (At(ms) < free) continue;
    const auto poll = queue.Pop(At(ms));
    if (!poll) continue;
    free = At(ms) + kAnswerTime;
    ++answered;
    if (At(ms) - *poll < kFollowInterval) ++in_time;
  }
  CHECK(answered > 2'000);
  CHECK(in_time > answered * 9 / 10);
}

TEST_CASE("a poll whose sender has stopped waiting is dropped") {
  PollQueue<int> queue;
  queue.Push(Host(1), 1, At(0));
  queue.Push(Host(2), 2, At(600));
  CHECK(queue.Pop(At(700)) == 2);
  CHECK(queue.Pop(At(700)) == std::nullopt);
  CHECK(queue.TakeDropped() == 1);
  CHECK(queue.Behind(At(5'000)));
  CHECK_FALSE(queue.Behind(At(6'000)));
}

}  // namespace foxquay::membership
