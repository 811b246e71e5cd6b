#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "foxquay/schema/announcement.h"
#include "foxquay/schema/codec.h"
#include "foxquay/schema/fleet.h"
#include "foxquay/schema/peer.h"
#include "foxquay/schema/sizes.h"
#include "foxquay/schema/transport.h"

namespace foxquay::schema {
namespace {

/// A size at a bound or a little to either side of it.
std::size_t SizeAround(std::size_t bound) {
  const auto offset = *rc::gen::inRange<std::size_t>(0, 7);
  return bound - 3 + offset;
}

/// Checks that a message is either refused by its writer or read back as it is,
/// and that it is refused if and only if it `exceeds` a bound.
template <class Message>
void CheckReadBack(const Message& message, bool exceeds) {
  const auto encoded = TryEncode(message);
  RC_ASSERT(encoded.has_value() == !exceeds);
  if (!encoded) return;
  const auto decoded = Decode<Message>(encoded.value());
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded.value() == message);
}

/// Checks a message in which `field`, a list or string, has a size around its
/// bound.
template <class Message, class Field>
void CheckField(Field Message::*field, std::size_t bound) {
  Message message;
  const std::size_t size = SizeAround(bound);
  (message.*field).resize(size);
  CheckReadBack(message, size > bound);
}

}  // namespace

// Writers accepted what readers refuse, so that a message or an entry of the
// log was sent again for ever, or a state was written that could not be read.
TEST_CASE("what is encoded is decoded as it was") {
  CHECK(rc::check([] {
    CheckField(&LogEntry::payload, LogEntry::kMaxPayload);
    CheckField(&ProposeRequest::command, ProposeRequest::kMaxCommand);
    CheckField(&Envelope::payload, Envelope::kMaxPayload);
    CheckField(&SnapshotChunk::data, SnapshotChunk::kMaxData);
    CheckField(&PutFleet::fleet, PutFleet::kMaxFleet);
    CheckField(&PutFleet::source, PutFleet::kMaxSource);
    CheckField(&ConfigReply::fleet, ConfigReply::kMaxFleet);
    CheckField(&AppendRequest::entries, AppendRequest::kMaxEntries);
    CheckField(&LogRecord::entries, LogRecord::kMaxEntries);
    CheckField(&Configuration::voters, Configuration::kMaxVoters);
    CheckField(&Claim::key, Claim::kMaxKey);
    CheckField(&RecordClaim::body, RecordClaim::kMaxBody);
    CheckField(&AddException::reason, AddException::kMaxReason);
    CheckField(&Workspace::api_keys, Workspace::kMaxApiKeys);
    CheckField(&Route::path_prefix, Route::kMaxPathPrefix);
    CheckField(&Route::services, Route::kMaxServices);
    CheckField(&Announcement::address, Announcement::kMaxAddress);
    CheckField(&LimitReport::statements, LimitReport::kMaxStatements);
    CheckField(&RosterReply::feeds, RosterReply::kMaxFeeds);
    CheckField(&FollowerReply::watched, FollowerReply::kMaxWatched);
  }));
}

TEST_CASE("names and keys in lists have a bound as well") {
  CHECK(rc::check([] {
    const std::size_t size = SizeAround(kMaxIdBytes);
    Workspace workspace;
    workspace.id = core::WorkspaceId(std::string(size, 'n'));
    CheckReadBack(workspace, size > kMaxIdBytes);
    workspace.id = {};
    workspace.api_keys = {"key", std::string(size, 'k')};
    CheckReadBack(workspace, size > kMaxIdBytes);
  }));
}

// Guards against bounds of one command in several messages that drift apart.
TEST_CASE("every message carries a command of the largest size") {
  const std::string command(kMaxCommandBytes, 'c');
  const std::string name(kMaxIdBytes, 'h');
  const MessageHeader header{
      {core::HostId(name), 1}, {core::HostId(name), 2}, 3};
  LogEntry entry;
  entry.payload = command;
  AppendRequest append;
  append.header = header;
  append.age = core::Duration(1);
  append.entries = {entry};
  const PeerMessage messages[] = {ConsensusMessage(append),
                                  ProposeRequest{1, 2, command}};
  for (const PeerMessage& message : messages) {
    const auto encoded = TryEncode(message);
    REQUIRE(encoded);
    const Envelope envelope{std::string(64, 'c'), core::HostId(name), 1,
                            encoded.value()};
    CHECK(TryEncode(envelope));
  }
  LogRecord record;
  record.entries = {entry};
  CHECK(Decode<LogRecord>(Encode(record)));
}

}  // namespace foxquay::schema
