#include "platform/soak/ledger.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace foxquay::platform::soak {
namespace {

/// Longest body of a plain answer, beyond one read of a socket.
constexpr std::size_t kMaxBody = 40'000;

bool IsPromise(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

std::string AnswerOf(const std::string& request) {
  const std::size_t hash = std::hash<std::string>()(request);
  return "answer to " + request + " " + std::string(hash % kMaxBody, 'x');
}

std::string EventOf(const std::string& request, unsigned event) {
  const std::string number = std::to_string(event);
  return "id: " + number + "\ndata: " + request + "/" + number + "\n\n";
}

void Ledger::Report(const std::string& promise, const std::string& what) {
  broken_.push_back(promise + ": " + what);
}

void Ledger::NoteSent(const std::string& request, Entry entry) {
  ++sent_.at(Index(entry.kind));
  entries_.emplace(request, std::move(entry));
}

void Ledger::NoteRun(const std::string& service, const net::Request& request) {
  const std::string id(request.fields["X-Request-Id"]);
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    Report("only what callers sent runs", "unknown request '" + id + "'");
    return;
  }
  Entry& entry = found->second;
  ++entry.runs;
  if (request.target != entry.target || request.body != entry.body) {
    Report("requests are passed on unchanged", id);
  }
  if (request.fields["X-Tenant"] != entry.workspace) {
    Report("the workspace is that of the key", id);
  }
  if (request.fields.count("Authorization") != 0) {
    Report("keys are not passed on", id);
  }
  if ((service == "model") != (entry.kind == Kind::kStream)) {
    Report("a request runs at a service of its route", id + " at " + service);
  }
  const auto revoked = revoked_.find(entry.key);
  if (revoked != revoked_.end() && entry.sent > revoked->second) {
    const std::chrono::duration<double> late = entry.sent - revoked->second;
    Report("a revoked key is refused in time",
           id + " was sent " + std::to_string(late.count()) + " s later");
  }
  if (entry.kind == Kind::kBook && entry.runs > 1) {
    Report("a request that is not repeatable runs once", id);
  }
  CheckRefusal(id, entry);
}

void Ledger::CheckRefusal(const std::string& request, const Entry& entry) {
  if (entry.kind == Kind::kBook && entry.status && IsPromise(*entry.status) &&
      entry.runs > 0) {
    Report("what is refused has not run and never will",
           request + " got " + std::to_string(*entry.status));
  }
}

void Ledger::NoteAnswer(const std::string& request, unsigned status,
                        const std::string& body, bool stamped) {
  Entry& entry = entries_.at(request);
  entry.status = status;
  CheckRefusal(request, entry);
  if (status == 401 && entry.key == kFixedKey) {
    Report("a key that is in force is accepted", request);
  }
  if (status == 404) Report("a route that is in force is found", request);
  if (status != 200) return;
  std::string expected;
  if (entry.kind == Kind::kStream) {
    for (unsigned event = 1; event <= kEvents; ++event) {
      expected += EventOf(request, event);
    }
  } else {
    expected = AnswerOf(request);
  }
  if (body != expected) {
    Report("an answer is the upstream's, whole and in order",
           request + ": " + std::to_string(body.size()) + " bytes of " +
               std::to_string(expected.size()));
  } else if (!stamped) {
    Report("an answer keeps its signature", request);
  } else {
    ++served_.at(Index(entry.kind));
  }
}

void Ledger::NoteRevoked(const std::string& key, core::Instant bound) {
  revoked_.try_emplace(key, bound);
}

}  // namespace foxquay::platform::soak
