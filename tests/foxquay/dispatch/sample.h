#ifndef FOXQUAY_TESTS_DISPATCH_SAMPLE_H_
#define FOXQUAY_TESTS_DISPATCH_SAMPLE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "foxquay/dispatch/engine.h"

namespace foxquay::dispatch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time at which the tests start.
inline constexpr core::Instant kStart{seconds(1000)};

/// Returns an upstream that holds layers `first` to `last` of a model with
/// `layers` layers.
inline schema::Announcement ModelUpstream(const std::string& id,
                                          std::uint32_t first,
                                          std::uint32_t last,
                                          std::uint32_t layers = 4) {
  schema::Announcement announced;
  announced.id = core::UpstreamId(id);
  announced.address = "127.0.0.1:9000";
  announced.data_centre = core::DataCentreId("welshpool");
  announced.kind = "model";
  announced.model = core::ModelId("drafter");
  announced.layers = {first, last};
  announced.model_layers = layers;
  announced.slots = 4;
  return announced;
}

/// Returns an upstream of the service that SampleCall calls.
inline schema::Announcement ServiceUpstream(const std::string& id) {
  schema::Announcement announced;
  announced.id = core::UpstreamId(id);
  announced.address = "127.0.0.1:9001";
  announced.kind = "service";
  announced.service = core::ServiceId("orderdesk");
  announced.slots = 4;
  return announced;
}

/// Returns a completion of at most `tokens` tokens.
inline Submission SampleCompletion(std::uint64_t id, std::uint32_t tokens) {
  Submission submission;
  submission.id = core::RequestId(id);
  submission.workspace = core::WorkspaceId("kellerup");
  submission.work =
      Completion{core::ModelId("drafter"), "", "", "hello", tokens};
  return submission;
}

/// Returns a service call; with an idempotency key if `no_repeat`.
inline Submission SampleCall(std::uint64_t id, bool no_repeat) {
  Submission submission;
  submission.id = core::RequestId(id);
  submission.workspace = core::WorkspaceId("kellerup");
  submission.no_repeat = no_repeat;
  if (no_repeat) submission.idempotency_key = "2000000000.a";
  submission.work = ServiceCall{core::ServiceId("orderdesk"), 10};
  return submission;
}

/// Returns the actions of one type, in order.
template <class T>
std::vector<T> ActionsOfType(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& action : actions) {
    if (const T* match = std::get_if<T>(&action)) found.push_back(*match);
  }
  return found;
}

/// Returns an engine without upstreams and with the initial policy.
inline Engine SampleEngine() {
  return Engine({core::HostId("host-1"), core::DataCentreId("welshpool"), 7});
}

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_TESTS_DISPATCH_SAMPLE_H_
