// Messages, log records and snapshots as the build in production encodes them.
// With FOXQUAY_RECORD=FILE the samples are written to FILE instead.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include "foxquay/schema/codec.h"
#include "foxquay/schema/consensus.h"
#include "foxquay/schema/peer.h"

namespace foxquay::schema {
namespace {

std::string ToHex(const std::string& bytes) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value >> 4U];
    text += kDigits[value & 0xfU];
  }
  return text;
}

std::string FromHex(const std::string& text) {
  std::string bytes;
  for (std::size_t index = 0; index + 1 < text.size(); index += 2) {
    bytes += static_cast<char>(std::stoul(text.substr(index, 2), nullptr, 16));
  }
  return bytes;
}

FollowerPoll MakeFollowerPoll() {
  FollowerPoll poll;
  poll.address = {core::HostId("10.0.0.1"),
                  7,
                  "10.0.0.1:7000",
                  "10.0.0.1:80",
                  core::DataCentreId("a"),
                  core::RegionId("r"),
                  false,
                  "10.0.0.1:7001"};
  poll.report.admitting = true;
  poll.report.open_requests = 12;
  poll.number = 5;
  poll.config = {core::HostId("10.0.0.1"), 7, 9, 0, 40, 2};
  poll.roster.incarnation = 7;
  poll.roster.number = 3;
  poll.roster.known.push_back({core::HostId("10.0.1.1"), 1, 55});
  poll.retries.push_back({core::ServiceId("llm"), 100, 4, 2.5});
  return poll;
}

FollowerReply MakeFollowerReply() {
  FollowerReply reply;
  reply.config.emplace();
  reply.config->incarnation = 7;
  reply.config->poll = 9;
  reply.config->age = std::chrono::milliseconds(120);
  reply.config->fleet_version = 41;
  reply.config->fleet = "changed routes";
  reply.config->fleet_base = 40;
  reply.config->fleet_prefix = 300;
  reply.open_requests = 321;
  FeedUpdate feed;
  feed.host = core::HostId("10.0.1.1");
  feed.version = 56;
  Announcement upstream;
  upstream.id = core::UpstreamId("gpu-1");
  upstream.address = "10.2.0.1:8000";
  upstream.layers = {0, 39};
  feed.changes.push_back(upstream);
  reply.roster.feeds.push_back(feed);
  return reply;
}

LogRecord MakeLogRecord() {
  PutFleet put;
  put.version = 41;
  put.fleet = "routes";
  put.source = "{}";
  LogRecord record;
  record.term = 3;
  record.vote = ReplicaId{core::HostId("10.0.1.1"), 11};
  record.first = 20;
  record.entries.push_back({3, EntryKind::kCommand,
                            core::WallTime(std::chrono::hours(1)),
                            Encode(ControlCommand(put))});
  return record;
}

ControlSnapshot MakeSnapshot() {
  ControlSnapshot snapshot;
  snapshot.index = 19;
  snapshot.fleet.version = 40;
  snapshot.fleet.fleet = "routes";
  snapshot.quarantines.version = 2;
  return snapshot;
}

/// Returns the samples in this build's encoding, by name.
std::map<std::string, std::string> EncodeSamples() {
  AppendRequest append;
  append.header = {{core::HostId("10.0.1.1"), 11}, {core::HostId("b"), 12}, 3};
  append.entries = MakeLogRecord().entries;
  append.commit = 19;
  return {
      {"follower_poll", Encode(PeerMessage(MakeFollowerPoll()))},
      {"follower_reply", Encode(PeerMessage(MakeFollowerReply()))},
      {"append_request", Encode(PeerMessage(ConsensusMessage(append)))},
      {"log_record", Encode(MakeLogRecord())},
      {"snapshot", Encode(MakeSnapshot())},
  };
}

std::map<std::string, std::string> ReadRecorded() {
  std::ifstream in(std::string(FOXQUAY_TEST_FOLDER) + "/recorded.txt");
  std::map<std::string, std::string> recorded;
  std::string name;
  std::string hex;
  while (in >> name >> hex) recorded[name] = FromHex(hex);
  return recorded;
}

}  // namespace

// Guards against a change of an encoding that hosts of the build in production
// cannot read, or of which this build cannot read theirs.
TEST_CASE("messages and files of the build in production are read") {
  if (const char* file = std::getenv("FOXQUAY_RECORD")) {
    std::ofstream out(file);
    for (const auto& [name, bytes] : EncodeSamples()) {
      out << name << ' ' << ToHex(bytes) << '\n';
    }
    return;
  }
  std::map<std::string, std::string> recorded = ReadRecorded();
  REQUIRE(recorded.size() == 5);
  const auto poll = Decode<PeerMessage>(recorded["follower_poll"]);
  REQUIRE(poll);
  CHECK(std::get<FollowerPoll>(poll.value()) == MakeFollowerPoll());
  const auto reply = Decode<PeerMessage>(recorded["follower_reply"]);
  REQUIRE(reply);
  CHECK(std::get<FollowerReply>(reply.value()) == MakeFollowerReply());
  const auto record = Decode<LogRecord>(recorded["log_record"]);
  REQUIRE(record);
  CHECK(record.value() == MakeLogRecord());
  const auto snapshot = Decode<ControlSnapshot>(recorded["snapshot"]);
  REQUIRE(snapshot);
  CHECK(snapshot.value() == MakeSnapshot());
  // What this build writes is what that one writes.
  for (const auto& [name, bytes] : EncodeSamples()) {
    CAPTURE(name);
    CHECK(recorded[name] == bytes);
  }
}

// A host passes over a kind of message that it does not know.
TEST_CASE("a kind of message that a later build adds is malformed, not taken") {
  std::string bytes = Encode(PeerMessage(MakeFollowerPoll()));
  const auto kinds = static_cast<char>(std::variant_size_v<PeerMessage>);
  // The index of the variant follows the flag for the byte order.
  bytes[1] = kinds;
  CHECK_FALSE(Decode<PeerMessage>(bytes));
}

}  // namespace foxquay::schema
