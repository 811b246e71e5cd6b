#ifndef FOXQUAY_QUARANTINE_RECORDER_H_
#define FOXQUAY_QUARANTINE_RECORDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/lru_map.h"
#include "foxquay/core/time.h"
#include "foxquay/quarantine/parts.h"
#include "foxquay/schema/quarantine.h"

namespace foxquay::quarantine {

/// Parts of prompts whose last answer one host remembers.
inline constexpr std::size_t kMaxRememberedParts = 8192;

/// Time for which a crash, an answer or a refusal is part of each report, so
/// that the loss of a message or of the control host that received it loses no
/// evidence.
inline constexpr core::Duration kReportTime = std::chrono::seconds(3);

/// Time for which an answer counts as a sign that the parts of its prompt are
/// sound; several times the duration of an answer.
inline constexpr core::Duration kTrustTime = std::chrono::seconds(60);

/// What one host knows about the parts of prompts: which have been answered,
/// and with which upstreams have crashed.
///
/// Bounded whatever parts callers name. Not thread-safe; performs no I/O.
class Recorder {
 public:
  /// Records that an answer to a prompt with these parts has begun.
  void RecordBegin(const core::ServiceId& service, const Parts& parts,
                   core::Instant now);

  /// Records that a prompt with these parts was answered completely.
  void RecordAnswer(const core::ServiceId& service, const Parts& parts,
                    core::Instant now);

  /// Records that an upstream crashed while it answered a prompt. `begun`: a
  /// part of the answer had arrived; then only the parts of the prompt that
  /// this host does not know to have been answered are reported, and the whole
  /// request if it has crashed several.
  void RecordCrash(const core::ServiceId& service,
                   const core::WorkspaceId& workspace,
                   const core::UpstreamId& upstream, core::WallTime born,
                   const Parts& parts, bool begun, core::Instant now);

  /// Records that a request was refused by a quarantine.
  void RecordRefusal(const schema::Quarantine& quarantine, core::Instant now);

  /// Returns whether every part may be sound: its answer has begun not long
  /// ago, and at most one upstream has crashed since it was last answered
  /// completely.
  [[nodiscard]] bool Trusts(const core::ServiceId& service, const Parts& parts,
                            core::Instant now) const;

  /// Sets the parts whose answers the control hosts ask for.
  void SetWatched(const std::vector<schema::PromptPart>& watched,
                  core::Instant now);

  /// Returns the evidence for the control hosts, with ages at `now`. The
  /// reporting host is not filled in.
  [[nodiscard]] schema::QuarantineReport Report(core::Instant now);

 private:
  using Key = std::pair<core::ServiceId, core::PromptPartId>;

  struct Part {
    std::optional<core::Instant> begun;     ///< Last answer that began.
    std::optional<core::Instant> answered;  ///< Last complete answer.
    std::uint32_t crashes = 0;  ///< Of different upstreams since then.
    core::UpstreamId last_crashed;
    core::WallTime last_born;  ///< Start time of that upstream.
  };
  struct Crash {
    schema::UpstreamCrash crash;
    core::Instant at;
  };

  core::LruMap<Key, Part> parts_{kMaxRememberedParts};
  std::deque<Crash> crashes_;
  std::map<std::pair<core::ServiceId, Parts>, core::Instant> refused_;
  /// When each watched part was first asked for.
  std::map<Key, core::Instant> watched_;
  std::uint64_t next_crash_ = 1;
};

}  // namespace foxquay::quarantine

#endif  // FOXQUAY_QUARANTINE_RECORDER_H_
