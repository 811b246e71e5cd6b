#include "foxquay/membership/poll_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <string>
#include <utility>

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

// Guards against replies that all come too late, and against hosts that get
// none: 200 hosts poll again as soon as they have waited for the validity of a
// poll, twice as fast as polls can be answered.
TEST_CASE("polls are answered in time, and every host's, at any load") {
  constexpr int kHosts = 200;
  constexpr milliseconds kAnswerTime{7};
  PollQueue<std::pair<int, core::Instant>> queue;
  int in_time = 0;
  int answered = 0;
  std::map<int, core::Instant> last;
  core::Duration longest{};
  core::Instant free = At(0);
  for (int ms = 0; ms < 20'000; ++ms) {
    for (int host = 0; host < kHosts; ++host) {
      if (ms % 700 == host * 3) queue.Push(Host(host), {host, At(ms)}, At(ms));
    }
    if (At(ms) < free) continue;
    const auto poll = queue.Pop(At(ms));
    if (!poll) continue;
    free = At(ms) + kAnswerTime;
    ++answered;
    const auto& [host, polled] = *poll;
    if (At(ms) - polled < kFollowInterval) ++in_time;
    longest = std::max(longest, At(ms) - last[host]);
    last[host] = At(ms);
  }
  CHECK(answered > 2'000);
  CHECK(in_time > answered * 9 / 10);
  CHECK(last.size() == kHosts);
  // A site's shortest bound on changes, less the time of a poll.
  CHECK(longest < milliseconds(2'000));
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
