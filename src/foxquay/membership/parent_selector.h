#ifndef FOXQUAY_MEMBERSHIP_PARENT_SELECTOR_H_
#define FOXQUAY_MEMBERSHIP_PARENT_SELECTOR_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "foxquay/core/id.h"
#include "foxquay/core/time.h"

namespace foxquay::membership {

/// Interval between two polls in a small cluster.
inline constexpr core::Duration kFollowInterval =
    std::chrono::milliseconds(250);

/// Polls per second that one control host is to answer at most, so that most of
/// a small control host is left for consensus and announcements.
inline constexpr double kMaxFollowerPollRate = 160;

/// Age of a confirmation above which it counts as missing. A control host polls
/// the leader at this interval or more often than twice within it, so that one
/// of these polls has failed.
inline constexpr core::Duration kMaxConfirmationAge =
    std::chrono::milliseconds(600);

/// Time without a reply after which a parent is left. Allows for a new
/// connection with one lost packet.
inline constexpr core::Duration kReplyTimeout = std::chrono::milliseconds(700);

/// Time for which a parent may answer without being able to confirm the
/// configuration before another one is chosen. Longer than an election, in
/// which no control host can.
inline constexpr core::Duration kMaxUnconfirmed =
    std::chrono::milliseconds(1500);

/// Time for which a control host is not chosen again after its first failure.
inline constexpr core::Duration kInitialParentBackoff =
    std::chrono::milliseconds(1000);
/// Maximum number of times that the back-off is doubled.
inline constexpr int kMaxParentDoublings = 2;

/// Interval at which a host that does not follow its preferred control host
/// asks whether that one serves again.
inline constexpr core::Duration kReturnInterval = std::chrono::seconds(4);

/// Interval between two questions to other control hosts while the parent does
/// not confirm, if they are answered.
inline constexpr core::Duration kAskInterval = kFollowInterval;

/// Maximum number of times that the interval between questions is doubled while
/// no control host answers or confirms, and the time-out of polls while none
/// answers, so that control hosts that are busy get less to do.
inline constexpr int kMaxSilenceDoublings = 2;

/// Returns the interval between two polls of a host if `followers` hosts follow
/// `controls` control hosts.
[[nodiscard]] core::Duration PollInterval(std::size_t followers,
                                          std::size_t controls);

/// Returns the largest age that the configuration of a host may reach while
/// `lost` of its control hosts do not answer or cannot confirm and another one
/// can. Delays on links and in processes are not included.
[[nodiscard]] core::Duration MaxConfigurationAge(std::size_t followers,
                                                 std::size_t controls,
                                                 std::size_t lost);

/// A control host that may be followed.
struct ParentCandidate {
  core::HostId host;
  bool near = false;  ///< In the data centre of this host.

  friend bool operator==(const ParentCandidate&,
                         const ParentCandidate&) = default;
};

/// Why a host follows another control host than before.
enum class ParentChange : std::uint8_t {
  kFirst,        ///< It followed none.
  kSilent,       ///< The previous one did not reply in time.
  kUnconfirmed,  ///< The previous one could not confirm its configuration.
  kPreferred,    ///< The preferred one serves again.
};

[[nodiscard]] const char* Name(ParentChange change) noexcept;

/// Chooses the control host that this host polls for control state, its parent,
/// so that each control host serves a part of the others and the loss of one
/// moves only its part.
///
/// Candidates are ranked by data centre, then by rendezvous hashing (Thaler and
/// Ravishankar, 1998), so that the followers of a lost parent spread over all
/// others. While the parent does not answer or cannot confirm its
/// configuration, the others are asked in turn whether they can, so that a
/// parent that is stuck costs two intervals. Answers a cluster of hundreds of
/// hosts that start, restart or lose a control host at the same time: each host
/// has one poll open at a time, asks ever more rarely while no candidate
/// answers or confirms, and keeps a parent that answers while no other one
/// confirms, since a move is work for all control hosts. Not thread-safe;
/// performs no I/O.
class ParentSelector {
 public:
  explicit ParentSelector(core::HostId self) : self_(std::move(self)) {}

  /// Replaces the candidates.
  void SetCandidates(std::vector<ParentCandidate> candidates);

  /// Sets the number of hosts that follow, from which the interval of the polls
  /// results.
  void SetFollowers(std::size_t followers) { followers_ = followers; }

  /// Returns the control hosts to poll at `now`, each of which counts as polled
  /// from then on. All but the parent are only asked for a confirmation.
  [[nodiscard]] std::vector<core::HostId> Due(core::Instant now);

  /// Records a reply to a poll; `age` is that of the sender's configuration if
  /// it could confirm one.
  void HandleReply(const core::HostId& from, std::optional<core::Duration> age,
                   core::Instant now);

  /// Records that a connection to a control host was lost or could not be made.
  /// An open poll is lost with it, and the next one is due at once.
  void HandleLoss(const core::HostId& host, core::Instant now);

  /// Returns the current parent, if there is one.
  [[nodiscard]] const std::optional<core::HostId>& parent() const noexcept {
    return parent_;
  }

  /// Returns why the current parent was chosen. Precondition: there is one.
  [[nodiscard]] ParentChange change() const noexcept { return change_; }

  /// Returns the interval between two polls.
  [[nodiscard]] core::Duration Interval() const {
    return PollInterval(followers_, candidates_.size());
  }

 private:
  /// What is known of one candidate.
  struct Record {
    int failures = 0;
    core::Instant avoid_until;
    std::optional<core::Instant> open_poll;  ///< Sent and not answered.
    std::optional<core::Instant> last_poll;
    /// When its last reply that confirmed a configuration arrived.
    std::optional<core::Instant> confirmed_at;
  };

  /// Chooses the best candidate that is not avoided, or the one whose avoidance
  /// ends first.
  void Choose(ParentChange change, core::Instant now);
  void Fail(ParentChange change, core::Instant now);
  void Follow(const core::HostId& host, ParentChange change, core::Instant now);
  /// Returns why the parent is to be left, if it is.
  [[nodiscard]] std::optional<ParentChange> ReasonToLeave(
      core::Instant now) const;
  /// Returns whether other candidates are to be asked: the parent could not
  /// confirm, or has not answered for an interval.
  [[nodiscard]] bool Searching(core::Instant now) const;
  /// Returns the candidate to ask next; null if each was polled within an
  /// interval.
  [[nodiscard]] const core::HostId* NextToAsk(core::Instant now) const;
  /// Returns how often waiting times are doubled after `replies` polls in a row
  /// without the reply that was hoped for.
  [[nodiscard]] int Doublings(std::size_t replies) const;
  /// Returns whether a candidate other than the parent has confirmed lately.
  [[nodiscard]] bool OtherConfirms(core::Instant now) const;
  /// Returns the time without a reply after which the parent is left.
  [[nodiscard]] core::Duration ReplyTimeout() const {
    return std::max(kReplyTimeout, Interval() * 2) *
           (1 << Doublings(unanswered_));
  }
  [[nodiscard]] bool Confirmed(const Record& record, core::Instant now) const;
  void Poll(const core::HostId& host, core::Instant now,
            std::vector<core::HostId>& due);
  /// Adds the preferred candidate if it is time to ask it again.
  void AddPreferred(std::vector<core::HostId>& due, core::Instant now);

  core::HostId self_;
  std::vector<ParentCandidate> candidates_;  ///< Best first.
  std::map<core::HostId, Record> records_;
  std::optional<core::HostId> parent_;
  ParentChange change_ = ParentChange::kFirst;
  bool parent_confirms_ = true;  ///< By its last reply, if it was polled.
  core::Instant next_poll_;      ///< Of the parent.
  core::Instant next_ask_;       ///< Of another candidate.
  std::optional<core::Instant>
      lost_at_;                 ///< When a poll of the parent was lost.
  core::Instant confirmed_at_;  ///< Last confirmed reply, or when chosen.
  core::Instant next_return_;
  std::size_t followers_ = 0;
  std::size_t unanswered_ = 0;   ///< Polls since the last reply.
  std::size_t unconfirmed_ = 0;  ///< Replies since the last confirmation.
  bool ever_confirmed_ = false;
};

}  // namespace foxquay::membership

#endif  // FOXQUAY_MEMBERSHIP_PARENT_SELECTOR_H_
