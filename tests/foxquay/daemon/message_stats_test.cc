#include "foxquay/daemon/message_stats.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace foxquay::daemon {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST_CASE("messages are counted by kind until the next period") {
  MessageStats stats;
  const std::size_t poll = schema::PeerMessage(schema::FollowerPoll()).index();
  const std::size_t reply =
      schema::PeerMessage(schema::FollowerReply()).index();
  stats.RecordReceived(poll, 400, microseconds(300));
  stats.RecordReceived(poll, 410, microseconds(900));
  stats.RecordSent(reply, 190'000);
  stats.RecordDelay(milliseconds(20));
  stats.RecordDelay(milliseconds(5));
  CHECK(FormatCounts(stats.received()) == "follower_poll:2/810/1200");
  CHECK(FormatCounts(stats.sent()) == "follower_reply:1/190000/0");
  CHECK(stats.longest() == microseconds(900));
  CHECK(stats.longest_kind() == poll);
  CHECK(stats.delay() == milliseconds(20));

  stats.Reset();
  CHECK(FormatCounts(stats.received()).empty());
  CHECK(stats.delay() == core::Duration::zero());
}

}  // namespace
}  // namespace foxquay::daemon
