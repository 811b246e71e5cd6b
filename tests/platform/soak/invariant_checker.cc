#include "platform/soak/invariant_checker.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace foxquay::platform::soak {
namespace {

/// Longest body of a plain answer; more than one read of a socket returns.
constexpr std::size_t kMaxAnswerBytes = 40'000;

/// Returns whether a status says that the request was not executed.
bool IsRefusal(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

std::string MakeAnswer(const std::string& request) {
  const std::size_t hash = std::hash<std::string>()(request);
  return "answer to " + request + " " +
         std::string(hash % kMaxAnswerBytes, 'x');
}

std::string MakeEvent(const std::string& request, unsigned event) {
  const std::string number = std::to_string(event);
  return "id: " + number + "\ndata: " + request + "/" + number + "\n\n";
}

void InvariantChecker::ReportViolation(const std::string& invariant,
                                       const std::string& detail) {
  violations_.push_back(invariant + ": " + detail);
}

void InvariantChecker::RecordSent(const std::string& request,
                                  RequestRecord record) {
  ++sent_.at(Index(record.kind));
  requests_.emplace(request, std::move(record));
}

void InvariantChecker::RecordExecution(const std::string& service,
                                       const net::Request& request) {
  const std::string id(request.fields["X-Request-Id"]);
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    ReportViolation("upstreams execute only requests that a caller sent",
                    "unknown request '" + id + "'");
    return;
  }
  RequestRecord& record = found->second;
  ++record.executions;
  if (request.target != record.target || request.body != record.body) {
    ReportViolation("requests are forwarded unchanged", id);
  }
  if (request.fields["X-Tenant"] != record.workspace) {
    ReportViolation("the forwarded workspace is that of the API key", id);
  }
  if (request.fields.count("Authorization") != 0) {
    ReportViolation("API keys are not forwarded", id);
  }
  if ((service == "model") != (record.kind == RequestKind::kStream)) {
    ReportViolation("a request is executed by the service of its route",
                    id + " at " + service);
  }
  const auto revoked = revoked_.find(record.key);
  if (revoked != revoked_.end() && record.sent_at > revoked->second) {
    const std::chrono::duration<double> late = record.sent_at - revoked->second;
    ReportViolation(
        "a revoked key is refused within the bound",
        id + " was sent " + std::to_string(late.count()) + " s later");
  }
  if (record.kind == RequestKind::kBook && record.executions > 1) {
    ReportViolation("an unsafe request is executed at most once", id);
  }
  CheckRefusal(id, record);
}

void InvariantChecker::CheckRefusal(const std::string& request,
                                    const RequestRecord& record) {
  if (record.kind == RequestKind::kBook && record.status &&
      IsRefusal(*record.status) && record.executions > 0) {
    ReportViolation("a refused request is never executed",
                    request + " got " + std::to_string(*record.status));
  }
}

void InvariantChecker::RecordAnswer(const std::string& request, unsigned status,
                                    const std::string& body, bool stamped) {
  RequestRecord& record = requests_.at(request);
  record.status = status;
  CheckRefusal(request, record);
  if (status == 401 && record.key == kPermanentKey) {
    ReportViolation("a valid key is accepted", request);
  }
  if (status == 404) ReportViolation("a configured route is found", request);
  if (status != 200) return;
  std::string expected;
  if (record.kind == RequestKind::kStream) {
    for (unsigned event = 1; event <= kStreamEvents; ++event) {
      expected += MakeEvent(request, event);
    }
  } else {
    expected = MakeAnswer(request);
  }
  if (body != expected) {
    ReportViolation("an answer is the upstream's, complete and in order",
                    request + ": " + std::to_string(body.size()) +
                        " bytes of " + std::to_string(expected.size()));
  } else if (!stamped) {
    ReportViolation("an answer keeps its X-Response-Stamp", request);
  } else {
    ++served_.at(Index(record.kind));
  }
}

void InvariantChecker::RecordRevoked(const std::string& key,
                                     core::Instant bound) {
  revoked_.try_emplace(key, bound);
}

}  // namespace foxquay::platform::soak
