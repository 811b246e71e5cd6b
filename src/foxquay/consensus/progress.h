#ifndef FOXQUAY_CONSENSUS_PROGRESS_H_
#define FOXQUAY_CONSENSUS_PROGRESS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

#include "foxquay/consensus/fwd.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/consensus.h"

namespace foxquay::consensus::internal {

/// Orders replicas by host, then incarnation.
struct ReplicaLess {
  bool operator()(const schema::ReplicaId& left,
                  const schema::ReplicaId& right) const {
    return std::tie(left.host, left.incarnation) <
           std::tie(right.host, right.incarnation);
  }
};

/// What a leader knows of another replica.
struct Progress {
  Index next = 1;   ///< First entry to send.
  Index match = 0;  ///< Last entry known to be durable there.
  /// Number of the message with entries that awaits its reply, if any.
  std::optional<std::uint64_t> in_flight;
  core::Instant in_flight_since{};
  bool needs_snapshot = false;
  Index transfer_index = 0;           ///< Snapshot being transferred.
  std::uint64_t transfer_offset = 0;  ///< Bytes that arrived there.
  /// When the latest message that it answered was sent.
  std::optional<core::Instant> acked_send_time;
  core::Instant last_reply_at{};  ///< When its latest reply arrived.
  std::uint64_t session = 0;
  core::Duration stamp{};  ///< Its clock in the latest reply.
};

using ProgressMap = std::map<schema::ReplicaId, Progress, ReplicaLess>;

}  // namespace foxquay::consensus::internal

#endif  // FOXQUAY_CONSENSUS_PROGRESS_H_
