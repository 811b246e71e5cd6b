#include "foxquay/daemon/turn_queue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <vector>

namespace foxquay::daemon {

// The messages of the replica group waited behind the polls of all hosts, for
// longer than an election may take.
TEST_CASE("a message does not wait for the tasks in the queue") {
  boost::asio::io_context context;
  TurnQueue queue(context);
  constexpr int kTasks = 300;
  std::vector<int> order;
  int before_message = -1;
  for (int task = 0; task < kTasks; ++task) {
    CHECK(queue.Add([&order, task] { order.push_back(task); }));
  }
  boost::asio::post(context,
                    [&] { before_message = static_cast<int>(order.size()); });
  context.run();
  CHECK(before_message <= 1);
  REQUIRE(order.size() == kTasks);
  for (int task = 0; task < kTasks; ++task) CHECK(order[task] == task);
}

TEST_CASE("a task may add the next one, and too many are refused") {
  boost::asio::io_context context;
  TurnQueue queue(context);
  int ran = 0;
  CHECK(queue.Add([&] {
    ++ran;
    CHECK(queue.Add([&] { ++ran; }));
  }));
  context.run();
  CHECK(ran == 2);
  int added = 0;
  while (added < 100000 && queue.Add([] {})) ++added;
  CHECK(added < 100000);
}

}  // namespace foxquay::daemon
