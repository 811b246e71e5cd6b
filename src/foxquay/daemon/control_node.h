#ifndef FOXQUAY_DAEMON_CONTROL_NODE_H_
#define FOXQUAY_DAEMON_CONTROL_NODE_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "foxquay/control/content_share.h"
#include "foxquay/control/in_force_tracker.h"
#include "foxquay/control/observer.h"
#include "foxquay/core/error.h"
#include "foxquay/core/time.h"
#include "foxquay/daemon/control_disk.h"
#include "foxquay/daemon/control_hosts.h"
#include "foxquay/daemon/control_proposer.h"
#include "foxquay/daemon/control_replica.h"
#include "foxquay/daemon/hooks.h"
#include "foxquay/daemon/message_stats.h"
#include "foxquay/dispatch/event.h"
#include "foxquay/entry/distances.h"
#include "foxquay/membership/control_outage.h"
#include "foxquay/membership/parent_selector.h"
#include "foxquay/membership/poll_queue.h"
#include "foxquay/quarantine/bundle.h"
#include "foxquay/quarantine/detector.h"
#include "foxquay/relay/limit_pool.h"
#include "foxquay/relay/partners.h"
#include "foxquay/relay/retry_pool.h"
#include "foxquay/roster/doubts.h"
#include "foxquay/roster/roster.h"
#include "foxquay/roster/spread.h"
#include "foxquay/roster/unconfigured.h"
#include "foxquay/schema/peer.h"
#include "foxquay/schema/settings.h"
#include "foxquay/transport/peer_transport.h"

namespace foxquay::daemon {

/// Interval of the control thread's periodic work.
inline constexpr core::Duration kControlTick = std::chrono::milliseconds(25);

/// As kControlTick, on a host that follows a control host: nothing there has to
/// happen sooner than a fifth of the interval between two polls.
inline constexpr core::Duration kFollowerTick = membership::kFollowInterval / 5;

/// Interval between two polls of the configuration.
inline constexpr core::Duration kConfigPollInterval =
    std::chrono::milliseconds(250);

/// Interval between two host lists, each sent to the next peer in turn.
inline constexpr core::Duration kGossipInterval =
    std::chrono::milliseconds(500);

/// Longest time that a process waits at its end for its vote to move. A new
/// leader may have to be elected and to be joined by the replica that takes
/// over; a leader of a build without such changes does not answer.
inline constexpr core::Duration kMaxRetireTime = std::chrono::seconds(3);

/// Time after which a protected request is rejected if its claim is undecided.
inline constexpr core::Duration kClaimTimeout = std::chrono::milliseconds(2000);

/// Time without a configuration poll after which the leader ends the
/// incarnation of a host. Longer than a configuration lease, so that the host
/// has stopped admitting requests when its claims become unknown.
inline constexpr core::Duration kIncarnationSilence = std::chrono::seconds(10);

/// Callbacks from the control node to the traffic side. Called on the control
/// thread. set_fleet, probe_upstreams, set_entry_hosts, set_open_requests,
/// set_leadership and count may be empty.
struct ControlSink {
  std::function<void(std::vector<schema::Announcement>)> set_upstreams;
  std::function<void(dispatch::PolicyChanged)> set_policy;
  std::function<void(dispatch::AdmissionChanged)> set_admission;
  /// Empty on a host that makes no claims, which is not registered then.
  std::function<void(dispatch::ClaimDecided)> decide_claim;
  /// Version of the fleet configuration, and its encoded content.
  std::function<void(std::uint64_t, const std::string&)> set_fleet;
  /// Returns the free share of this host's capacity, 0 to 1.
  std::function<double()> free_capacity;
  std::function<std::size_t()> open_requests;
  /// Returns whether this host reaches no upstream. May be empty.
  std::function<bool()> cut_off;
  /// Takes the other entry hosts that can take requests of this one, when they
  /// change. May be empty.
  std::function<void(std::vector<relay::Partner>)> set_partners;
  /// Probes upstreams that are overdue or suspected; the result of each goes to
  /// ControlNode::HandleProbeResult.
  std::function<void(const std::vector<schema::Announcement>&)> probe_upstreams;
  /// Number of known hosts that serve callers, this one included.
  std::function<void(const std::map<core::DataCentreId, std::size_t>&)>
      set_entry_hosts;
  /// Requests that have not ended at any host, as known to the control hosts.
  std::function<void(std::uint64_t)> set_open_requests;
  /// Returns the use of this host's retry budgets. May be empty.
  std::function<std::vector<schema::RetryUsage>()> retry_usage;
  /// Retries that this host may send. May be empty.
  std::function<void(const std::vector<schema::RetryAllowance>&)>
      set_retry_allowances;
  /// Whether this host's replica leads, and its term.
  std::function<void(bool, std::uint64_t)> set_leadership;
  /// Returns what this host has seen of crashes that requests cause, with ages
  /// at the time of the call. May be empty.
  std::function<schema::QuarantineReport()> quarantine_report;
  /// Parts of prompts whose answers are to be reported. May be empty.
  std::function<void(const std::vector<schema::PromptPart>&)> set_watched_parts;
  /// The quarantines in force, and this host's incarnation. May be empty.
  std::function<void(const schema::QuarantineTable&, std::uint64_t)>
      set_quarantines;
  /// Returns the limits that upstreams have stated to this host, with ages at
  /// the time of the call, and what it could send. May be empty.
  std::function<schema::LimitReport()> limit_report;
  /// Takes the limits that the control hosts know, if they changed, and what
  /// this host may send to these upstreams. May be empty.
  std::function<void(const std::vector<schema::LimitStatement>&,
                     const std::vector<schema::LimitLeave>&)>
      set_limits;
  /// Adds an amount to a counter with these labels.
  std::function<void(std::string_view counter, std::string_view labels,
                     std::uint64_t amount)>
      count;
};

/// State of a host and its view of the cluster, as shown to operators.
struct ControlStatus {
  core::HostId host;
  core::HostId leader;
  std::uint64_t term = 0;    ///< 0 on a host without a replica.
  std::uint64_t commit = 0;  ///< 0 on a host without a replica.
  std::vector<schema::ReplicaId> voters;
  bool changing_voters = false;  ///< A lost replica is being replaced.
  std::uint64_t replica = 0;     ///< Incarnation of the replica on this host.
  std::uint64_t revision = 0;
  bool admitting = false;
  std::vector<HostView> hosts;
  std::vector<schema::Announcement> upstreams;
  transport::PeerTransportCounters links;
};

/// The control side of a host: configuration, claims, roster, host reports and,
/// on control hosts and standbys, a consensus replica.
///
/// One thread owns all state. The functions of the public interface are
/// thread-safe unless they say otherwise; those that return a value block until
/// the control thread has answered and must not be called on it.
class ControlNode {
 public:
  /// `peer_key` is the key of peer messages, the same on all hosts of a
  /// cluster.
  ///
  /// Precondition: `incarnation` is larger than any earlier one of this host.
  ControlNode(const schema::Settings& settings, std::string peer_key,
              std::uint64_t incarnation, ControlSink sink);
  ~ControlNode();
  ControlNode(const ControlNode&) = delete;
  ControlNode& operator=(const ControlNode&) = delete;

  /// Recovers durable state, binds the peer listener and starts the control
  /// thread. Returns kCorrupt if the recovered snapshot does not decode. Not
  /// thread-safe.
  [[nodiscard]] std::error_code Start();
  /// Waits until no proposal is open, such as the outcome of a claim, or until
  /// `timeout` has passed.
  void Flush(core::Duration timeout);
  /// Hands this host's vote to another replica that is ready for it, as the
  /// process is about to stop. Does not block; see MayStop.
  void Retire();
  /// Returns whether nothing is gained by a further wait after Retire: the vote
  /// has moved, no replica can take it over, or this host has none. Does not
  /// block.
  [[nodiscard]] bool MayStop() const noexcept { return may_stop_; }
  /// Waits for MayStop, at most for kMaxRetireTime.
  void AwaitRetirement();
  /// Stops the control thread. Not thread-safe.
  void Stop();

  /// Replaces the fleet configuration if the version of `command` is higher;
  /// `done` runs on the control thread and gets kUnavailable if the change is
  /// not known to be committed within `timeout`.
  void PutFleet(schema::PutFleet command, core::Duration timeout,
                std::function<void(core::Result<schema::FleetResult>)> done);

  /// Reads the source of the fleet configuration, as committed at the call or
  /// later; `done` runs on the control thread and gets kUnavailable if this
  /// host cannot confirm within `timeout` that its state is current.
  void ReadFleet(core::Duration timeout,
                 std::function<void(core::Result<std::string>)> done);

  /// Claims the idempotency key of a protected request; the decision goes to
  /// ControlSink::decide_claim.
  void RequestClaim(ClaimRequest request);
  void ReleaseClaim(ClaimRelease release);
  void RecordOutcome(ClaimRecord record);
  /// Returns whether announcements and withdrawals reach the other hosts. A
  /// control host that has lost contact with the majority refuses them, so that
  /// upstreams turn to another one. Does not block.
  [[nodiscard]] bool AcceptsAnnouncements() const noexcept {
    return accepts_announcements_;
  }
  /// Applies an announcement. `done` may be empty; it runs on the control
  /// thread, for an upstream that leaves once all other control hosts that are
  /// alive know it or roster::kSpreadTimeout after the call. If this host stops
  /// before, `done` does not run.
  void Announce(const schema::Announcement& announcement,
                std::function<void()> done = {});
  /// As Announce, for an upstream that withdraws. `done` gets false at once if
  /// no feed states the upstream: this host cannot make others know which of
  /// its starts has ended.
  void Withdraw(const core::UpstreamId& upstream,
                std::function<void(bool known)> done = {});
  /// Sets the services of the fleet configuration. Announcements for others are
  /// acknowledged and held back until they are configured, except those of an
  /// upstream that is known with the same service; without a call, none is.
  void SetServices(std::set<core::ServiceId> services);
  /// Handles the result of a probe; `probed` is the announcement of the
  /// upstream at that time. An upstream that was reached stays in the roster.
  /// One that was not is withdrawn if it is suspected and has not announced
  /// itself since.
  void HandleProbeResult(const schema::Announcement& probed, bool reached);
  /// Handles the layers that an upstream was observed to hold; none if no
  /// layers are placed on it.
  void HandleLayers(const core::UpstreamId& upstream,
                    const std::optional<schema::LayerRange>& layers);
  /// Reports to the leader that a request stalls on its path through
  /// `upstreams`, which are suspected from then on.
  void ReportSuspected(std::vector<core::UpstreamId> upstreams);
  void StartDrain();
  /// Reports limits and needs to the parent at once.
  void AskForLeaves();

  /// Adds seeds, the hosts through which this one finds the others; a host that
  /// is already known keeps its addresses.
  void AddSeeds(std::vector<std::string> seeds);

  /// Returns the entry addresses for callers in a data centre, or in that of
  /// this host if `data_centre` is empty. Does not block. Returns none on a
  /// host that finds the others through seeds and is cut off from them.
  [[nodiscard]] http::EntryAnswer Entry(
      const core::DataCentreId& data_centre) const;

  /// Commits a command and returns its result; kUnavailable if it is not known
  /// to be committed within `timeout`.
  [[nodiscard]] core::Result<schema::ControlResult> Commit(
      const schema::ControlCommand& command, core::Duration timeout);

  /// Waits until this host has applied the configuration entry `sequence` or
  /// until `timeout` has passed.
  void AwaitApplied(std::uint64_t sequence, core::Duration timeout);

  /// Waits until the configuration entry `sequence` is in force or until
  /// `timeout` has passed; kUnavailable if no leader answered the last check.
  [[nodiscard]] core::Result<control::InForce> AwaitInForce(
      std::uint64_t sequence, core::Duration timeout);

  [[nodiscard]] ControlStatus Status();
  /// Returns whether the disk of this host's replica is full. Does not block.
  /// Precondition: Start was called.
  [[nodiscard]] bool DiskFull() const { return disk_ && disk_->full(); }
  /// Returns the configuration that this host has applied.
  [[nodiscard]] control::Config Configuration();
  /// Returns the retained configuration entries, newest last; empty without a
  /// replica.
  [[nodiscard]] std::vector<schema::ConfigEntry> History();

 private:
  /// Immutable data that other threads read.
  struct Shared {
    std::vector<HostView> hosts;
    /// Whether this host has a replica or may admit requests, and so hears of
    /// the others; a host that is cut off would return only its own address.
    bool connected = false;
    entry::Distances distances;
    core::Duration entry_ttl{};
  };
  struct OpenClaim {
    schema::ClaimOwner owner;
    core::WorkspaceId workspace;
    std::string key;
  };
  using InForceDone = std::function<void(core::Result<control::InForce>)>;
  struct InForceCheck {
    core::Instant deadline;
    InForceDone done;
  };

  struct FleetRead {
    core::Instant requested;
    core::Instant deadline;
    std::function<void(core::Result<std::string>)> done;
  };

  /// A leave that waits for its acknowledgement.
  struct Leave {
    core::UpstreamId upstream;
    core::Instant called;
    std::function<void()> done;
  };

  template <class Function>
  auto Call(Function function);

  /// Returns whether an announcement is for a service that is not configured,
  /// and not of an upstream whose service was taken out of the configuration.
  [[nodiscard]] bool IsUnconfigured(
      const schema::Announcement& announcement) const;

  void Run();
  void Tick();
  void Receive(schema::Envelope envelope);
  /// A poll that waits for its answer.
  struct WaitingPoll {
    core::HostId sender;
    std::uint64_t incarnation = 0;
    std::variant<schema::FollowerPoll, schema::ConfigPoll> poll;
  };

  /// Adds a poll to those that are answered when no other message waits.
  void QueuePoll(const schema::Envelope& from,
                 std::variant<schema::FollowerPoll, schema::ConfigPoll> poll);
  /// Answers the next poll after the messages that have arrived, and so on
  /// until no poll waits.
  void AnswerPollsSoon();
  void AnswerPoll(const WaitingPoll& from, const schema::FollowerPoll& poll);
  void AnswerPoll(const WaitingPoll& from, const schema::ConfigPoll& poll);
  void AnswerConfigPoll(const core::HostId& sender,
                        const schema::ConfigPoll& poll, core::Instant now);
  void On(const schema::Envelope& from, schema::ConsensusMessage message);
  void On(const schema::Envelope& from, const schema::ConfigPoll& poll);
  void On(const schema::Envelope& from, const schema::ConfigReply& reply);
  void On(const schema::Envelope& from, const schema::RosterPoll& poll);
  void On(const schema::Envelope& from, const schema::RosterReply& reply);
  void On(const schema::Envelope& from, const schema::ProposeRequest& request);
  void On(const schema::Envelope& from, const schema::ProposeReply& reply);
  void On(const schema::Envelope& from, const schema::InForceRequest& request);
  void On(const schema::Envelope& from, const schema::InForceReply& reply);
  void On(const schema::Envelope& from, const schema::HostReport& report);
  void On(const schema::Envelope& from, const schema::HostList& list);
  void On(const schema::Envelope& from, const schema::UpstreamDoubts& report);
  void On(const schema::Envelope& from, const schema::FollowerPoll& poll);
  void On(const schema::Envelope& from, const schema::FollowerReply& reply);
  void On(const schema::Envelope& from, const schema::QuarantineReport& report);
  void On(const schema::Envelope& from, const schema::LimitReport& report);
  void On(const schema::Envelope& from, const schema::LimitGrant& grant);
  void On(const schema::Envelope& from, const schema::HeardHosts& heard);

  bool NeedsHostList(const core::HostId& sender, const schema::HostList& list,
                     core::Instant now);
  bool SetLink(const core::HostId& host);
  void ContactUnknownSender(const core::HostId& sender);
  void Send(const core::HostId& to, const schema::PeerMessage& message);
  void RecordOversize(const core::HostId& to, std::size_t kind);
  void SendPropose(const core::HostId& to, schema::ProposeRequest request);
  void AnswerPropose(const core::HostId& to,
                     const schema::ProposeRequest& request);
  void StartReplica(consensus::PersistentState durable);
  void UpdateMayStop();
  void SyncObserver();
  /// Returns the reply to a configuration poll, or nothing if this host cannot
  /// confirm a configuration.
  [[nodiscard]] std::optional<schema::ConfigReply> AnswerConfig(
      const core::HostId& sender, const schema::ConfigPoll& poll,
      std::size_t max_content, core::Instant now);
  /// Records that a reply with `bytes` of the fleet configuration was sent to a
  /// poll whose handling began at `started`.
  void RecordContent(const core::HostId& host, std::uint64_t version,
                     std::size_t bytes, core::Instant started);
  /// Returns whether hosts find each other through seeds. The control hosts
  /// then talk to each other, and every other host to one of them.
  [[nodiscard]] bool uses_seeds() const {
    return !settings_.join.seeds.empty();
  }
  [[nodiscard]] schema::HostReport OwnReport(core::Instant now);
  [[nodiscard]] schema::HostAddress OwnAddress() const;
  /// Polls the control host that this host follows.
  void FollowParent(core::Instant now);
  void LogParentChange(const std::optional<core::HostId>& former,
                       core::Instant now) const;
  /// Returns the time since the configuration was last known to be current, in
  /// milliseconds; empty if it never was.
  [[nodiscard]] std::string FormatAge(core::Instant now) const;
  /// Records a reply to a poll after it was applied; null if the sender could
  /// not tell the state of the configuration. Precondition: this host follows a
  /// control host.
  void RecordReply(const core::HostId& from, const schema::ConfigReply* reply,
                   core::Instant now);
  /// Returns the time as of which this host has every change of the
  /// configuration and of the upstreams that could have been acknowledged;
  /// nothing if it is not known.
  [[nodiscard]] std::optional<core::Instant> CompleteAsOf() const;
  /// Records that a control host has answered with its feeds, which were
  /// applied.
  void RecordFeeds(const core::HostId& from,
                   const schema::FollowerReply& reply);
  /// Records what a reply, null as in RecordReply, says of whether changes are
  /// acknowledged.
  void RecordEvidence(const core::HostId& from,
                      const schema::ConfigReply* reply, core::Instant now);
  void HandleConnectionLoss(const transport::ConnectionLoss& loss);
  /// Polls again if a poll was lost with the connection to a host.
  void PollAfterLoss(const core::HostId& host);
  void Count(std::string_view counter, std::string_view labels,
             std::uint64_t amount = 1) const {
    if (sink_.count) sink_.count(counter, labels, amount);
  }
  /// Logs and counts the messages of the last second.
  void ReportMessages(core::Instant now);
  /// Logs and counts what was sent in updates of feeds, and why.
  void ReportFeeds();
  void UpdateParentCandidates();
  /// Takes the states of hosts over from the feeds.
  void FollowHosts(core::Instant now);
  /// Returns what this host has seen itself, stated as its own.
  [[nodiscard]] schema::QuarantineReport OwnQuarantineReport() const;
  /// Passes the evidence of this host and its followers on to the other control
  /// hosts.
  void ShareQuarantineReports(core::Instant now);
  /// Records that an upstream answered an inquiry, and tells the other control
  /// hosts if it was suspected.
  void RecordReached(const schema::Announcement& upstream, core::Instant sent,
                     core::Instant now);
  /// Proposes the change of the quarantines that the evidence requires, if this
  /// host leads.
  void ReviewQuarantines(core::Instant now);
  /// Returns what this host reports of limits to the control host `to`: all of
  /// it at times and while `to` may not know it, else what is new.
  [[nodiscard]] schema::LimitReport OwnLimitReport(const core::HostId& to,
                                                   core::Instant now);
  /// Adds limits, and what a follower may send, to the reply to its poll.
  void AnswerLimits(const core::HostId& follower,
                    const schema::FollowerPoll& poll, core::Instant now,
                    schema::FollowerReply& reply);
  /// Returns what a follower may send to limited upstreams.
  [[nodiscard]] std::vector<schema::LimitLeave> GrantLeaves(
      const core::HostId& follower, const schema::LimitReport& report,
      core::Instant now);
  /// Passes limits on to the other control hosts.
  void ShareLimits(core::Instant now);
  /// Sets the address of another control host; returns whether it was not a
  /// peer before.
  bool AddPeer(const schema::HostAddress& address);
  /// Updates whether announcements are accepted.
  void ReviewConfirmation(core::Instant now);
  /// Sums up the open requests that hosts have reported.
  void SumOpenRequests(core::Instant now);
  void PollConfig(core::Instant now);
  void PollRoster(core::Instant now);
  /// Sends the other control hosts the list of their hosts that report here.
  void ShareHeardHosts(core::Instant now);
  void GossipHosts(core::Instant now);
  void RemoveSilentHosts(core::Instant now);
  void Register(core::Instant now);
  void EndSilentIncarnations(core::Instant now);
  void PublishPolicy();
  void PublishAdmission(core::Instant now);
  void PublishRoster(core::Instant now);
  void PublishHosts(core::Instant now);
  void PublishPartners(const std::vector<HostView>& hosts);
  void SettleClaim(const schema::ControlCommand& command);
  void DecideClaim(core::RequestId request,
                   const core::Result<schema::ControlResult>& result);
  void CheckInForce(std::uint64_t sequence, core::Instant now,
                    InForceDone done);
  void ExpireInForceChecks(core::Instant now);
  void AnswerFleetReads(core::Instant now);
  /// Calls `done` when the other control hosts know that an upstream leaves, of
  /// which this host was told at `called`; at once if this host's feed does not
  /// state it, as a newer announcement has been received.
  void AwaitSpread(const core::UpstreamId& upstream, core::Instant called,
                   std::function<void()> done);
  /// Acknowledges the leaves that wait no longer.
  void AnswerLeaves(core::Instant now);
  /// Returns the other control hosts that may tell followers of upstreams.
  [[nodiscard]] std::vector<core::HostId> OtherControls() const;
  void PublishLeadership();
  void ProbeOverdue(core::Instant now);
  void Probe(std::vector<schema::Announcement> upstreams, core::Instant now);
  [[nodiscard]] core::HostId KnownLeader() const;

  const schema::Settings settings_;
  const std::string peer_key_;
  const core::HostId self_;
  const ControlSink sink_;
  std::uint64_t incarnation_;

  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  boost::asio::steady_timer timer_;
  transport::PeerTransport links_;
  control::Observer observer_;
  control::ContentShare content_share_;
  roster::Roster roster_;
  roster::Spread spread_;  ///< Of this host's feed; tasks are keys of leaves_.
  std::map<std::uint64_t, Leave> leaves_;
  std::uint64_t next_leave_ = 1;
  Hosts hosts_;
  Proposer proposer_;
  /// Set on a host that follows a control host.
  std::optional<membership::ParentSelector> parent_;
  membership::ControlOutage outage_;  ///< Used if parent_ is set.
  /// Time as of which the feeds of a control host with a leader are known.
  std::optional<core::Instant> upstreams_confirmed_;
  std::uint64_t next_report_ = 1;  ///< Number of the next report.
  core::Duration warned_age_{};    ///< Largest age that was logged as too old.
  relay::RetryPool retry_pool_;    ///< Of the hosts that follow this one.
  relay::LimitPool limit_pool_;    ///< Of the hosts that follow this one.
  /// This host and the other control hosts that are alive.
  std::vector<core::HostId> alive_controls_;
  /// Control host and incarnation that has been sent all limits, and when.
  std::pair<core::HostId, std::uint64_t> limits_sent_to_;
  core::Instant limits_sent_at_;
  core::Instant leaves_asked_at_;     ///< When leaves were last asked for.
  std::uint64_t limits_version_ = 0;  ///< Of the parent's list.
  std::size_t entry_hosts_ = 1;       ///< Known hosts that serve callers.
  quarantine::Detector detector_;
  quarantine::Bundle quarantine_news_;  ///< For the other control hosts.
  /// Sent to the followers; computed once for all of them.
  std::vector<schema::PromptPart> watched_parts_;
  bool proposing_quarantine_ = false;
  core::Instant next_quarantine_review_{};
  std::uint64_t published_quarantines_ = 0;  ///< Their version.
  std::unique_ptr<ControlDisk> disk_;
  std::optional<ControlReplica> replica_;

  /// Open requests that a host reported, and when.
  struct ReportedRequests {
    core::Instant reported_at;
    std::uint64_t open = 0;
  };

  std::map<core::HostId, ReportedRequests> follower_requests_;
  /// Of the followers of other control hosts.
  std::map<core::HostId, ReportedRequests> control_requests_;
  std::uint64_t followers_open_ = 0;  ///< Sum over this host's followers.
  std::uint64_t total_open_ = 0;      ///< Sum over all hosts.
  membership::PollQueue<WaitingPoll> polls_;
  bool answering_polls_ = false;  ///< AnswerPollsSoon is under way.
  MessageStats message_stats_;
  core::Instant next_message_report_{};
  core::Instant next_tick_{};  ///< When the current tick was due.
  std::vector<core::HostId> peers_;
  /// When the host list was last sent to a control host that did not list this
  /// host.
  std::map<core::HostId, core::Instant> host_list_sent_;
  /// Unknown senders that this host has tried to answer.
  std::set<core::HostId> contacted_;
  std::size_t next_config_peer_ = 0;
  core::Instant next_config_poll_{};
  core::Instant synced_at_{};  ///< Last call of SyncObserver.
  core::Instant next_roster_poll_{};
  core::Instant next_heard_{};
  core::Instant heard_shared_at_{};
  core::Instant next_registration_{};
  core::Instant next_gossip_{};
  std::size_t next_gossip_peer_ = 0;
  bool registering_ = false;
  bool draining_ = false;
  std::uint64_t published_sequence_ = UINT64_MAX;
  std::optional<dispatch::AdmissionChanged> published_admission_;
  std::vector<schema::Announcement> published_upstreams_;
  std::vector<relay::Partner> published_partners_;
  std::uint64_t reviewed_changes_ = UINT64_MAX;  ///< Of the roster's upstreams.
  core::Instant next_roster_review_{};
  std::uint64_t followed_changes_ = UINT64_MAX;  ///< Of the roster's hosts.
  core::Instant next_hosts_review_{};
  std::map<core::RequestId, OpenClaim> claims_;
  /// Last configuration poll of each host, while this host leads.
  std::map<core::HostId, core::Instant> last_config_poll_;
  std::uint64_t leader_term_ = 0;  ///< Highest term in a report with a leader.
  core::Instant leader_since_{};
  bool was_leader_ = false;
  std::map<std::uint64_t, InForceCheck> in_force_checks_;
  std::vector<FleetRead> fleet_reads_;
  std::uint64_t published_fleet_ = 0;
  roster::Doubts doubts_;
  roster::Unconfigured unconfigured_;
  std::map<core::UpstreamId, core::Instant> probed_;     ///< Last probe.
  std::map<core::UpstreamId, core::Instant> suspected_;  ///< Last report.
  std::optional<std::pair<bool, std::uint64_t>> published_leadership_;
  std::uint64_t next_in_force_check_ = 1;
  std::atomic<std::shared_ptr<const Shared>> shared_;
  std::atomic<bool> accepts_announcements_{true};
  std::atomic<bool> stopping_{false};
  core::Instant next_oversize_log_;
  std::atomic<bool> may_stop_{false};  ///< See MayStop.
  std::thread thread_;
};

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_CONTROL_NODE_H_
