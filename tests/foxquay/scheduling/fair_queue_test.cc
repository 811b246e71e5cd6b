#include "foxquay/scheduling/fair_queue.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace foxquay::scheduling {
namespace {

using std::chrono::milliseconds;

Verdict TakeAny(const Ticket& ticket) {
  return ticket.request.value() > 0 ? Verdict::kTake : Verdict::kSkip;
}

Ticket Make(
    std::uint64_t request, const std::string& workspace, core::Duration cost,
    core::TrafficClass traffic_class = core::TrafficClass::kInteractive) {
  return {core::RequestId(request),
          core::WorkspaceId(workspace),
          traffic_class,
          cost,
          {}};
}

/// A workspace that always has legs waiting and whose estimated costs are wrong
/// by `factor`.
struct Source {
  std::string workspace;
  double factor = 1;
  std::int64_t weight = 100;
};

/// Runs `legs` legs of backlogged sources on `slots` slots and returns the
/// number of completed legs of each, which all take the same time.
std::map<std::string, double> Serve(const std::vector<Source>& sources,
                                    std::size_t slots, int legs) {
  constexpr milliseconds kActual(100);
  FairQueue queue;
  std::map<std::string, double> served;
  std::uint64_t next = 0;
  const auto push = [&](const Source& source) {
    const auto cost =
        std::chrono::duration_cast<core::Duration>(kActual * source.factor);
    queue.Push(Make(++next, source.workspace, cost), {source.weight, 100});
  };
  for (const Source& source : sources) {
    for (std::size_t i = 0; i <= slots; ++i) push(source);
  }
  std::deque<Ticket> running;
  for (int leg = 0; leg < legs; ++leg) {
    const auto ticket = queue.Take(TakeAny);
    running.push_back(*ticket);
    for (const Source& source : sources) {
      if (source.workspace == ticket->workspace.value()) push(source);
    }
    if (running.size() < slots) continue;
    served[running.front().workspace.value()] += 1;
    queue.Complete(running.front(), kActual);
    running.pop_front();
  }
  return served;
}

}  // namespace

// Guards against a workspace that gets more than its share by sending more.
TEST_CASE("a flooding workspace does not delay another's next leg") {
  FairQueue queue;
  for (std::uint64_t i = 1; i <= 1000; ++i) {
    queue.Push(Make(i, "flood", milliseconds(50)), {});
  }
  for (int i = 0; i < 10; ++i) REQUIRE(queue.Take(TakeAny));
  queue.Push(Make(2000, "quiet", milliseconds(50)), {});
  const auto first = queue.Take(TakeAny);
  const auto second = queue.Take(TakeAny);
  CHECK((first->request.value() == 2000 || second->request.value() == 2000));
}

// Guards against starvation by wrong estimates: those of one workspace are ten
// times too high and those of another ten times too low.
TEST_CASE("estimates that are wrong by a factor of ten change no share") {
  const auto served =
      Serve({{"high", 10}, {"low", 0.1}, {"right", 1}}, 12, 3000);
  for (const auto& [workspace, legs] : served) {
    INFO(workspace << " got " << legs);
    CHECK(legs == Approx(1000).epsilon(0.05));
  }
}

// Guards against weights that are ignored, or applied to legs instead of time.
TEST_CASE("service time follows the weights") {
  const auto served = Serve({{"a", 1, 300}, {"b", 1, 100}}, 4, 2000);
  CHECK(served.at("a") == Approx(1500).epsilon(0.02));
}

TEST_CASE("classes share their workspace by weight") {
  FairQueue queue;
  for (std::uint64_t i = 1; i <= 500; ++i) {
    queue.Push(Make(i, "w", milliseconds(10), core::TrafficClass::kBatch),
               {100, 100});
    queue.Push(Make(1000 + i, "w", milliseconds(10)), {100, 400});
  }
  int interactive = 0;
  for (int i = 0; i < 500; ++i) {
    if (queue.Take(TakeAny)->traffic_class ==
        core::TrafficClass::kInteractive) {
      ++interactive;
    }
  }
  CHECK(interactive == Approx(400).margin(2));
}

// Guards against head-of-line blocking behind a leg whose upstreams are full.
TEST_CASE("a leg that cannot run does not block other flows") {
  FairQueue queue;
  queue.Push(Make(1, "a", milliseconds(1)), {});
  queue.Push(Make(2, "b", milliseconds(1)), {});
  const auto taken = queue.Take([](const Ticket& ticket) {
    return ticket.request.value() == 1 ? Verdict::kSkip : Verdict::kTake;
  });
  REQUIRE(taken);
  CHECK(taken->request.value() == 2);
  CHECK(queue.size() == 1);
}

// Guards against serving work before other work that is due earlier.
TEST_CASE("legs of one class are served by deadline") {
  FairQueue queue;
  for (const std::uint64_t due : {30U, 10U, 20U}) {
    Ticket ticket = Make(due, "a", milliseconds(1));
    ticket.deadline = core::Instant(std::chrono::seconds(due));
    queue.Push(ticket, {});
  }
  for (const std::uint64_t due : {10U, 20U, 30U}) {
    CHECK(queue.Take(TakeAny)->request.value() == due);
  }
}

// Guards against visiting all flows of a pool that has no free slot.
TEST_CASE("a queue is not searched further once nothing can run") {
  FairQueue queue;
  for (std::uint64_t i = 1; i <= 10; ++i) {
    queue.Push(Make(i, "w" + std::to_string(i), milliseconds(1)), {});
  }
  int calls = 0;
  CHECK_FALSE(queue.Take([&](const Ticket&) {
    ++calls;
    return Verdict::kStop;
  }));
  CHECK(calls == 1);
}

TEST_CASE("a resumed leg goes first in its flow") {
  FairQueue queue;
  queue.Push(Make(1, "a", milliseconds(1)), {});
  queue.Push(Make(2, "a", milliseconds(1)), {}, QueueEnd::kFront);
  CHECK(queue.Take(TakeAny)->request.value() == 2);
}

// Guards against dropping the charge for past service when a workspace is idle
// for a moment.
TEST_CASE("an idle workspace keeps the charge for its past service") {
  FairQueue queue;
  queue.Push(Make(1, "heavy", milliseconds(1)), {});
  const auto heavy = queue.Take(TakeAny);
  queue.Complete(*heavy, std::chrono::seconds(10));
  queue.Push(Make(2, "heavy", milliseconds(1)), {});
  for (std::uint64_t i = 10; i < 20; ++i) {
    queue.Push(Make(i, "light", milliseconds(100)), {});
  }
  for (int i = 0; i < 10; ++i) {
    CHECK(queue.Take(TakeAny)->workspace.value() == "light");
  }
}

// Guards against memory that grows with every workspace ever seen.
TEST_CASE("state of idle workspaces is bounded") {
  FairQueue queue;
  for (std::uint64_t i = 1; i <= 20000; ++i) {
    queue.Push(Make(i, "w" + std::to_string(i), milliseconds(5)), {});
    queue.Complete(*queue.Take(TakeAny), milliseconds(i % 10));
  }
  CHECK(queue.Workspaces() <= kMaxWorkspaces);
}

// Guards against legs that are lost, served twice or miscounted, and against a
// queue that returns no leg while some are waiting.
TEST_CASE("the queue counts its legs and returns one while any waits",
          "[fuzz]") {
  REQUIRE(rc::check([] {
    FairQueue queue;
    std::map<std::uint64_t, Ticket> waiting;
    std::vector<Ticket> running;
    std::uint64_t next = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100));
    for (const int step : steps) {
      if (step < 45) {
        const auto ticket =
            Make(++next, "w" + std::to_string(step % 5), milliseconds(step),
                 step % 2 == 0 ? core::TrafficClass::kBatch
                               : core::TrafficClass::kInteractive);
        queue.Push(ticket, {100 + step, 100});
        waiting.emplace(next, ticket);
      } else if (step < 55 && !waiting.empty()) {
        RC_ASSERT(queue.Remove(core::RequestId(waiting.begin()->first)));
        waiting.erase(waiting.begin());
      } else if (step < 80) {
        const auto ticket = queue.Take(TakeAny);
        RC_ASSERT(ticket.has_value() == !waiting.empty());
        if (!ticket) continue;
        RC_ASSERT(waiting.erase(ticket->request.value()) == 1U);
        running.push_back(*ticket);
      } else if (!running.empty()) {
        queue.Complete(running.back(), milliseconds(step * 10 - 800));
        running.pop_back();
      }
      RC_ASSERT(queue.size() == waiting.size());
      RC_ASSERT(queue.running() == running.size());
    }
  }));
}

}  // namespace foxquay::scheduling
