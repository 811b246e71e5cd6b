#ifndef FOXQUAY_SCHEMA_SIZES_H_
#define FOXQUAY_SCHEMA_SIZES_H_

#include <cstddef>

#include "foxquay/schema/consensus.h"
#include "foxquay/schema/control.h"
#include "foxquay/schema/peer.h"
#include "foxquay/schema/transport.h"

namespace foxquay::schema {

/// Largest configuration of the fleet, in bytes: of the document that the
/// operator sends, and of its encoded form. All other limits on its way follow
/// from this one.
inline constexpr std::size_t kMaxFleetBytes = PutFleet::kMaxFleet;

/// Upper bound on what a message adds to the command or the content in it: ids
/// of replicas, numbers and sizes.
inline constexpr std::size_t kMessageOverheadBytes = 4096;

/// Largest encoded command of the control log, in bytes.
inline constexpr std::size_t kMaxCommandBytes =
    2 * kMaxFleetBytes + kMessageOverheadBytes;

/// Largest command that builds without EntryLimit read, in bytes.
inline constexpr std::size_t kBasicCommandBytes = 1'000'000;

/// Largest payload of a message that such builds read, in bytes.
inline constexpr std::size_t kBasicMessageBytes = std::size_t{1} << 20U;

static_assert(PutFleet::kMaxSource == kMaxFleetBytes,
              "a command holds the largest configuration");
static_assert(ProposeRequest::kMaxCommand >= kMaxCommandBytes,
              "a forwarded proposal carries the largest command");
static_assert(LogEntry::kMaxPayload >= kMaxCommandBytes,
              "the log, an append and the disk hold the largest command");
static_assert(Envelope::kMaxPayload >=
                  LogEntry::kMaxPayload + kMessageOverheadBytes,
              "an envelope carries the largest append");
static_assert(Envelope::kMaxPayload >=
                  ProposeRequest::kMaxCommand + kMessageOverheadBytes,
              "an envelope carries the largest proposal");
static_assert(ConfigReply::kMaxFleet >= kMaxFleetBytes &&
                  kBasicMessageBytes >= kMaxFleetBytes + kMessageOverheadBytes,
              "a reply to an entry host carries the largest configuration");

}  // namespace foxquay::schema

#endif  // FOXQUAY_SCHEMA_SIZES_H_
