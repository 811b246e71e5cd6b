#ifndef FOXQUAY_QUARANTINE_DETECTOR_H_
#define FOXQUAY_QUARANTINE_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/quarantine/parts.h"
#include "foxquay/schema/quarantine.h"

namespace foxquay::quarantine {

/// Crashes of different upstreams after which a part is put in quarantine. One
/// or two also occur to sound requests when upstreams end for other reasons.
inline constexpr std::size_t kMinCrashes = 3;

/// Time for which crashes are remembered. Long enough for a part that is used
/// once in some minutes.
inline constexpr core::Duration kCrashRetention = std::chrono::minutes(10);

/// Maximum number of crashes that are remembered, counted by request: an
/// upstream that ends with many requests is in as many of them.
inline constexpr std::size_t kMaxCrashes = 1024;

/// Time between crashes above which they have no common cause such as the loss
/// of a rack.
inline constexpr core::Duration kSameMoment = std::chrono::seconds(1);

/// Time after which a quarantine is first probed with one request, doubled
/// after each probe that crashes its upstream.
inline constexpr core::Duration kFirstProbeDelay = std::chrono::minutes(5);
/// Maximum number of times that the delay is doubled.
inline constexpr unsigned kMaxProbeDoublings = 8;

/// Time after which a probe that had no outcome is given to another host.
inline constexpr core::Duration kProbeTimeout = std::chrono::seconds(60);

/// A change of the quarantines in force.
using Change = std::variant<schema::PutQuarantine, schema::ReleaseQuarantine>;

/// Finds the requests, or parts of their prompts, on which upstreams crash,
/// from what all hosts report.
///
/// A part is suspected if upstreams crashed while they answered requests that
/// have it, several in a row with no complete answer to the part between them,
/// at two moments, or three if it had been answered before, or if answers had
/// begun and fewer than six upstreams crashed. Crashes after an answer had
/// begun count for no part that was ever answered, as an upstream that ends for
/// another reason cuts off many of these. A part that was never answered is
/// suspected before one that was, then the one with the most crashes, then the
/// one in the fewest requests; crashes that a quarantine explains count for no
/// other part of a prompt. Parts of the same requests are suspected together,
/// and only requests that have all of them are refused, until an answer to one
/// of them leaves the others. Crashes from one workspace restrict only that
/// workspace. An upstream that the control hosts reach afterwards has not
/// crashed.
///
/// Every control host keeps one, so that a new leader has the evidence. Not
/// thread-safe; performs no I/O.
class Detector {
 public:
  /// Adds evidence; crashes that are already known are ignored.
  void Record(const schema::QuarantineReport& report, core::Instant now);

  /// Records that an upstream was reached by an inquiry sent at `at`: it did
  /// not crash before.
  void RecordReached(const core::UpstreamId& upstream, core::WallTime born,
                     core::Instant at);

  /// Returns the parts of which an answer would be evidence: those in
  /// quarantine and those that have not been answered since they were in a
  /// crash; whole requests from the second crash on, as each upstream that ends
  /// leaves several that never come again.
  [[nodiscard]] std::vector<schema::PromptPart> Watched(
      const schema::QuarantineTable& table) const;

  /// Returns the change that is due for the quarantines in force. `settle` is
  /// the time in which the answers that hosts have seen are reported;
  /// suspicion waits for it after the first of the crashes.
  [[nodiscard]] std::optional<Change> Review(
      const schema::QuarantineTable& table, core::Duration settle,
      core::Instant now);

  /// Returns the number of crashes that are remembered.
  [[nodiscard]] std::size_t crashes() const noexcept { return crashes_.size(); }

 private:
  using PartKey = std::pair<core::ServiceId, core::PromptPartId>;
  using Incarnation = std::pair<core::UpstreamId, core::WallTime>;
  using EntryKey = std::pair<core::ServiceId, Parts>;

  struct Crash {
    core::HostId host;
    std::uint64_t incarnation = 0;
    schema::UpstreamCrash report;
    core::Instant at;
    core::Instant received;

    [[nodiscard]] Incarnation upstream() const {
      return {report.upstream, report.born};
    }
  };
  /// A part and the crashes since its last answer.
  struct Suspect {
    core::PromptPartId part;
    bool answered = false;  ///< Ever, before these crashes.
    bool begun = false;     ///< Answers had begun at some of the crashes.
    std::set<Incarnation> upstreams;
    std::set<core::WorkspaceId> workspaces;
    std::set<const Crash*> crashes;

    /// Returns how many of the crashes cannot have a common cause.
    [[nodiscard]] std::size_t Moments() const;
    /// Returns when hosts began to be asked for answers to it.
    [[nodiscard]] core::Instant WatchedSince() const;
    [[nodiscard]] bool Convicted() const;
  };
  /// A quarantine as this host has seen it.
  struct Seen {
    std::uint64_t generation = 0;
    core::Instant first;    ///< When the quarantine was first seen.
    core::Instant changed;  ///< When this generation was first seen.
  };
  /// The last host that refused a request by a quarantine.
  struct Refusal {
    core::HostId host;
    std::uint64_t incarnation = 0;
    core::Instant at;
  };

  void AddCrash(const schema::ReportedCrash& reported, core::Instant now);
  void Forget(const schema::QuarantineTable& table, core::Instant now);
  /// Returns what answers and probes require for one quarantine.
  [[nodiscard]] std::optional<Change> ReviewEntry(
      const schema::QuarantineTable& table, const schema::Quarantine& entry,
      core::Instant now) const;
  /// Returns the narrower or removed quarantine if some of its parts have been
  /// answered since its last crash.
  [[nodiscard]] std::optional<Change> ReviewAnswers(
      const schema::QuarantineTable& table, const schema::Quarantine& entry,
      core::Instant last_crash) const;
  [[nodiscard]] std::optional<Change> ReviewProbe(
      const schema::Quarantine& entry, const Seen& seen,
      core::Instant last_crash, core::Instant now) const;
  /// Returns the crashes that no quarantine explains.
  [[nodiscard]] std::vector<const Crash*> Unexplained(
      const schema::QuarantineTable& table) const;
  /// Returns a quarantine of another service for parts that also crash this
  /// one.
  [[nodiscard]] static std::optional<Change> Extend(
      const schema::QuarantineTable& table, const Crash& crash);
  /// Returns the parts of requests for a service that have crashes since their
  /// last answer.
  [[nodiscard]] std::map<core::PromptPartId, Suspect> FindSuspects(
      const std::vector<const Crash*>& crashes,
      const core::ServiceId& service) const;
  /// Returns the quarantine for the first of the suspects that has enough
  /// crashes; nothing if there is none or its answers may not be known yet.
  [[nodiscard]] std::optional<Change> Quarantine(
      const core::ServiceId& service,
      const std::map<core::PromptPartId, Suspect>& suspects,
      core::Duration settle, core::Instant now);
  /// Returns the quarantine for a whole request that was never answered, also
  /// if its crashes are explained by others: a sound request does not run
  /// beside a crashing one that often.
  [[nodiscard]] std::optional<Change> QuarantineRepeats(
      const schema::QuarantineTable& table, core::Duration settle,
      core::Instant now);
  [[nodiscard]] std::optional<core::Instant> LastAnswer(
      const core::ServiceId& service, const core::PromptPartId& part) const;

  std::deque<Crash> crashes_;
  /// When upstreams that had been reported as crashed were reached.
  std::map<Incarnation, core::Instant> reached_;
  /// There is evidence that no review of the suspects has covered, or a suspect
  /// whose answers may not be known yet.
  bool pending_ = false;
  std::uint64_t reviewed_version_ = 0;  ///< Of the table.
  core::Instant next_forget_;
  std::map<PartKey, core::Instant> answered_;
  std::map<EntryKey, Refusal> refused_;
  std::map<EntryKey, Seen> seen_;
};

}  // namespace foxquay::quarantine

#endif  // FOXQUAY_QUARANTINE_DETECTOR_H_
