#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "foxquay/core/digest.h"
#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/control_node.h"
#include "foxquay/log/log.h"

namespace foxquay::daemon {
namespace internal {

/// Time for which the release or the outcome of a claim is retried. After that
/// time the incarnation has ended and the claim counts as unknown.
constexpr core::Duration kClaimSettleTimeout = std::chrono::minutes(10);

dispatch::ClaimDecision ToDecision(schema::ClaimStatus status) {
  switch (status) {
    case schema::ClaimStatus::kGranted:
      return dispatch::ClaimDecision::kGranted;
    case schema::ClaimStatus::kRunning:
      return dispatch::ClaimDecision::kRunning;
    case schema::ClaimStatus::kComplete:
      return dispatch::ClaimDecision::kComplete;
    case schema::ClaimStatus::kUnknown:
      return dispatch::ClaimDecision::kUnknown;
    case schema::ClaimStatus::kMismatch:
      return dispatch::ClaimDecision::kMismatch;
    case schema::ClaimStatus::kExpired:
    case schema::ClaimStatus::kTooLong:
    case schema::ClaimStatus::kMalformed:
      return dispatch::ClaimDecision::kExpired;
    case schema::ClaimStatus::kReleased:
    case schema::ClaimStatus::kNotOwner:
    case schema::ClaimStatus::kEnded:
    case schema::ClaimStatus::kFull:
      return dispatch::ClaimDecision::kUnavailable;
  }
  return dispatch::ClaimDecision::kUnavailable;
}

}  // namespace internal

void ControlNode::RequestClaim(ClaimRequest request) {
  boost::asio::post(context_, [this, request = std::move(request)] {
    const core::Instant now = Now();
    OpenClaim claim{{self_, observer_.incarnation(), request.request.value()},
                    request.workspace,
                    request.key};
    const schema::Claim command{claim.owner, claim.workspace, claim.key,
                                request.digest};
    claims_[request.request] = std::move(claim);
    proposer_.Propose(command, now + kClaimTimeout, now,
                      [this, id = request.request](
                          const core::Result<schema::ControlResult>& result) {
                        DecideClaim(id, result);
                      });
  });
}

void ControlNode::DecideClaim(
    core::RequestId request,
    const core::Result<schema::ControlResult>& result) {
  dispatch::ClaimDecided decided;
  decided.request = request;
  const schema::ClaimResult* claim =
      result ? std::get_if<schema::ClaimResult>(&result.value()) : nullptr;
  if (claim != nullptr) {
    decided.decision = internal::ToDecision(claim->status);
    decided.status = claim->answer_status;
    decided.body = claim->body;
  }
  sink_.decide_claim(std::move(decided));
}

void ControlNode::ReleaseClaim(ClaimRelease release) {
  boost::asio::post(context_, [this, release = std::move(release)] {
    const auto found = claims_.find(release.request);
    if (found == claims_.end()) return;
    const OpenClaim claim = std::move(found->second);
    claims_.erase(found);
    SettleClaim(schema::ReleaseClaim{claim.owner, claim.workspace, claim.key});
  });
}

void ControlNode::RecordOutcome(ClaimRecord record) {
  boost::asio::post(context_, [this, record = std::move(record)] {
    const auto found = claims_.find(record.request);
    if (found == claims_.end()) return;
    const OpenClaim claim = std::move(found->second);
    claims_.erase(found);
    schema::RecordClaim command;
    command.owner = claim.owner;
    command.workspace = claim.workspace;
    command.key = claim.key;
    command.complete = record.outcome == core::Outcome::kComplete;
    command.status = record.status;
    if (record.body.size() <= 4096) command.body = record.body;
    command.body_digest = core::Digest({record.body});
    SettleClaim(command);
  });
}

void ControlNode::SettleClaim(const schema::ControlCommand& command) {
  const core::Instant now = Now();
  proposer_.Propose(command, now + internal::kClaimSettleTimeout, now,
                    [](const core::Result<schema::ControlResult>& result) {
                      if (result) return;
                      log::Write(log::Level::kWarn, "claim_not_settled", {});
                    });
}

}  // namespace foxquay::daemon
