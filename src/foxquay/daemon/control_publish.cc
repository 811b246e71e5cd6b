#include <algorithm>
#include <utility>
#include <variant>

#include "foxquay/control/policy.h"
#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/control_node.h"
#include "foxquay/log/log.h"
#include "foxquay/schema/codec.h"

namespace foxquay::daemon {
namespace internal {

/// Minimum interval between two registrations of this host.
constexpr core::Duration kRegistrationInterval = std::chrono::milliseconds(500);

/// Interval at which the lists of upstreams and hosts are compared with those
/// published last; a fraction of the bounds on silent upstreams and hosts.
constexpr core::Duration kReviewInterval = std::chrono::milliseconds(100);

/// Returns whether two announcements differ in nothing that affects routing,
/// that is, in sequence and load at most.
bool EqualForRouting(const schema::Announcement& left,
                     const schema::Announcement& right) {
  schema::Announcement normalized = right;
  normalized.sequence = left.sequence;
  normalized.load = left.load;
  return normalized == left;
}

std::string AdmissionReason(control::AdmissionState state) {
  switch (state) {
    case control::AdmissionState::kOpen:
      return "";
    case control::AdmissionState::kNoLease:
      return "this host cannot confirm its configuration";
    case control::AdmissionState::kNotRegistered:
      return "this host is not registered yet";
  }
  return "";
}

}  // namespace internal

void ControlNode::PollConfig(core::Instant now) {
  next_config_poll_ = now + kConfigPollInterval;
  const core::HostId leader = KnownLeader();
  if (!leader.empty() && leader != self_) {
    Send(leader, observer_.StartPoll(now));
  }
  if (replica_ && replica_->leads()) {
    last_config_poll_[self_] = now;
    (void)replica_->Answer(observer_.StartPoll(now), now);
  }
  if (peers_.empty()) return;
  next_config_peer_ = (next_config_peer_ + 1) % peers_.size();
  if (peers_[next_config_peer_] != leader) {
    Send(peers_[next_config_peer_], observer_.StartPoll(now));
  }
}

schema::HostReport ControlNode::OwnReport(core::Instant now) {
  schema::HostReport report;
  report.draining = draining_;
  report.admitting =
      observer_.Admit(now).state == control::AdmissionState::kOpen;
  report.cut_off = sink_.cut_off && sink_.cut_off();
  report.free_percent = static_cast<std::uint8_t>(
      std::clamp(sink_.free_capacity(), 0.0, 1.0) * 100);
  report.open_requests =
      static_cast<std::uint32_t>(followers_open_ + sink_.open_requests());
  report.revision = observer_.config().revision();
  if (replica_) {
    report.leader = replica_->leader();
    report.term = replica_->replica().term();
  }
  hosts_.SetOwnReport(observer_.incarnation(), report);
  return report;
}

void ControlNode::PollRoster(core::Instant now) {
  next_roster_poll_ = now + roster::kPollInterval;
  SumOpenRequests(now);
  const schema::HostReport report = OwnReport(now);
  if (uses_seeds()) {
    roster_.HearHost({OwnAddress(), next_report_++, report.draining,
                      report.admitting, false},
                     now);
  }
  const auto encoded = schema::TryEncode(schema::PeerMessage(report));
  ShareQuarantineReports(now);
  ShareLimits(now);
  for (const core::HostId& peer : peers_) {
    if (encoded) links_.SendDatagram(peer, encoded.value());
    const auto poll = roster_.PollIfAnswered(peer, now);
    if (poll) Send(peer, *poll);
  }
  if (uses_seeds() && now >= next_heard_) ShareHeardHosts(now);
}

void ControlNode::ShareHeardHosts(core::Instant now) {
  schema::HeardHosts heard = roster_.Heard(now);
  const bool due = !heard.hosts.empty() ||
                   now - heard_shared_at_ >= roster::kEmptyHeardInterval;
  if (!due) return;
  next_heard_ = now + roster::kHeardInterval;
  heard_shared_at_ = now;
  const schema::PeerMessage message = std::move(heard);
  for (const core::HostId& peer : peers_) Send(peer, message);
}

void ControlNode::GossipHosts(core::Instant now) {
  next_gossip_ = now + kGossipInterval;
  RemoveSilentHosts(now);
  if (peers_.empty() || parent_) return;
  next_gossip_peer_ = (next_gossip_peer_ + 1) % peers_.size();
  Send(peers_[next_gossip_peer_], hosts_.ListAlive(uses_seeds(), now));
}

void ControlNode::RemoveSilentHosts(core::Instant now) {
  for (const core::HostId& host : hosts_.RemoveSilent(now)) {
    std::erase(peers_, host);
    roster_.RemoveFeed(host);
  }
}

void ControlNode::Register(core::Instant now) {
  const bool live = observer_.config().Live(self_, observer_.incarnation());
  if (live || registering_ || now < next_registration_) return;
  registering_ = true;
  next_registration_ = now + internal::kRegistrationInterval;
  const schema::RegisterHost command{self_, observer_.incarnation(),
                                     settings_.host.data_centre};
  proposer_.Propose(
      command, now + kClaimTimeout, now,
      [this](const core::Result<schema::ControlResult>& result) {
        registering_ = false;
        if (!result) return;
        const auto* host = std::get_if<schema::HostResult>(&result.value());
        if (host == nullptr || host->status != schema::HostStatus::kStale) {
          return;
        }
        observer_.SetIncarnation(
            std::max(host->incarnation, observer_.incarnation()) + 1);
      });
}

void ControlNode::EndSilentIncarnations(core::Instant now) {
  if (!replica_ || !replica_->leads() || draining_) return;
  for (const auto& [host, record] : replica_->state().config().hosts()) {
    if (!record.live) continue;
    const core::Instant heard =
        last_config_poll_.try_emplace(host, leader_since_).first->second;
    if (now - heard < kIncarnationSilence) continue;
    last_config_poll_[host] = now;
    log::Write(log::Level::kWarn, "incarnation_ended",
               {{"host", host}, {"incarnation", record.incarnation}});
    proposer_.Propose(schema::EndIncarnation{host, record.incarnation},
                      now + kClaimTimeout, now,
                      [](const core::Result<schema::ControlResult>&) {});
  }
}

void ControlNode::PublishPolicy() {
  if (published_fleet_ != observer_.fleet_version()) {
    published_fleet_ = observer_.fleet_version();
    log::Write(log::Level::kInfo, "fleet_applied",
               {{"version", published_fleet_},
                {"bytes", observer_.fleet().size()},
                {"fleet_age_ms", FormatAge(Now())}});
    if (sink_.set_fleet) sink_.set_fleet(published_fleet_, observer_.fleet());
  }
  const schema::QuarantineTable& quarantines = observer_.quarantines();
  if (published_quarantines_ != quarantines.version) {
    published_quarantines_ = quarantines.version;
    if (sink_.set_quarantines) {
      sink_.set_quarantines(quarantines, incarnation_);
    }
  }
  if (published_sequence_ == observer_.config().sequence()) return;
  published_sequence_ = observer_.config().sequence();
  sink_.set_policy(
      control::ToPolicy<dispatch::PolicyChanged>(observer_.config()));
}

void ControlNode::PublishAdmission(core::Instant now) {
  const control::Admission admission = observer_.Admit(now);
  dispatch::AdmissionChanged changed;
  changed.open = admission.state == control::AdmissionState::kOpen;
  changed.reason = internal::AdmissionReason(admission.state);
  if (changed.open) changed.until = admission.until;
  changed.confirmed = observer_.confirmed();
  changed.complete_as_of = CompleteAsOf();
  const bool same =
      published_admission_ && published_admission_->open == changed.open &&
      published_admission_->until == changed.until &&
      published_admission_->complete_as_of == changed.complete_as_of;
  if (same) return;
  if (!published_admission_ || published_admission_->open != changed.open) {
    log::Write(log::Level::kInfo, "admission_changed",
               {{"open", changed.open}, {"reason", changed.reason}});
  }
  published_admission_ = changed;
  sink_.set_admission(std::move(changed));
}

void ControlNode::PublishRoster(core::Instant now) {
  // Without a change, only the age of the feeds can change the result.
  if (reviewed_changes_ == roster_.changes() && now < next_roster_review_) {
    return;
  }
  next_roster_review_ = now + internal::kReviewInterval;
  std::vector<schema::Announcement> usable = roster_.Usable(now);
  reviewed_changes_ = roster_.changes();
  const bool same =
      std::equal(usable.begin(), usable.end(), published_upstreams_.begin(),
                 published_upstreams_.end(), internal::EqualForRouting);
  if (same) return;
  published_upstreams_ = usable;
  sink_.set_upstreams(std::move(usable));
}

void ControlNode::PublishHosts(core::Instant now) {
  if (now < next_hosts_review_) return;
  next_hosts_review_ = now + internal::kReviewInterval;
  control::Subject subject;
  subject.data_centre = settings_.host.data_centre;
  subject.host = self_;
  const auto ttl =
      observer_.config().Effective(schema::PolicyKey::kEntryTtl, subject);
  const std::chrono::milliseconds entry_ttl(ttl);
  std::vector<HostView> hosts = hosts_.Views(now);
  alive_controls_ = {self_};
  for (const HostView& host : hosts) {
    const bool other = host.control && host.alive && host.id != self_;
    if (other) alive_controls_.push_back(host.id);
  }
  const std::shared_ptr<const Shared> current = shared_.load();
  const bool connected =
      replica_ || observer_.Admit(now).state == control::AdmissionState::kOpen;
  if (current->hosts == hosts && current->entry_ttl == entry_ttl &&
      current->connected == connected) {
    return;
  }
  std::map<core::DataCentreId, std::size_t> by_centre;
  entry_hosts_ = 0;
  for (const HostView& host : hosts) {
    if (host.caller.empty()) continue;
    ++entry_hosts_;
    ++by_centre[host.data_centre];
  }
  if (sink_.set_entry_hosts) sink_.set_entry_hosts(by_centre);
  PublishPartners(hosts);
  auto shared = std::make_shared<Shared>();
  shared->connected = connected;
  shared->distances = NominalDistances(hosts);
  shared->hosts = std::move(hosts);
  shared->entry_ttl = entry_ttl;
  shared_.store(std::move(shared));
}

void ControlNode::PublishPartners(const std::vector<HostView>& hosts) {
  if (!sink_.set_partners) return;
  std::vector<relay::Partner> partners;
  for (const HostView& host : hosts) {
    const schema::HostReport& report = host.report;
    const bool takes = host.alive && report.admitting && !report.draining &&
                       !report.cut_off && host.id != self_;
    if (takes && !host.partner.empty()) {
      partners.push_back({host.id, host.partner});
    }
  }
  if (partners == published_partners_) return;
  published_partners_ = partners;
  sink_.set_partners(std::move(partners));
}

}  // namespace foxquay::daemon
