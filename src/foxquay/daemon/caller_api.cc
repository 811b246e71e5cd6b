#include "foxquay/daemon/caller_api.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstring>
#include <string_view>
#include <utility>
#include <variant>

#include "foxquay/daemon/digest.h"

namespace foxquay::daemon {
namespace internal {

/// Time after the start within which upstreams may not have announced
/// themselves yet, so that an unknown name is not the caller's fault.
constexpr std::chrono::milliseconds kYouth{1800};

constexpr std::array<std::string_view, 11> kHopHeaders{"connection",
                                                       "keep-alive",
                                                       "te",
                                                       "trailer",
                                                       "upgrade",
                                                       "transfer-encoding",
                                                       "host",
                                                       "expect",
                                                       "content-length",
                                                       "x-foxquay-timeout",
                                                       "proxy-connection"};

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

/// Returns the headers that pass a proxy.
std::vector<std::pair<std::string, std::string>> EndToEnd(
    const std::vector<std::pair<std::string, std::string>>& headers) {
  std::vector<std::pair<std::string, std::string>> kept;
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
               [](const auto& header) {
                 return std::find(kHopHeaders.begin(), kHopHeaders.end(),
                                  Lower(header.first)) == kHopHeaders.end();
               });
  return kept;
}

/// Turns the progress of a request into server-sent events. Used by one thread.
class EventSource {
 public:
  EventSource(Exchange& exchange, Progress&& first) : exchange_(exchange) {
    Append(first);
  }

  std::size_t Read(char* out, std::size_t max) {
    if (offset_ == events_.size()) {
      events_.clear();
      offset_ = 0;
      if (ended_) return 0;
      Append(exchange_.Await());
    }
    const std::size_t count = std::min(max, events_.size() - offset_);
    std::memcpy(out, events_.data() + offset_, count);
    offset_ += count;
    return count;
  }

 private:
  void Append(const Progress& progress) {
    for (const dispatch::DeliverToken& token : progress.tokens) {
      events_ += http::TokenEvent(token.index, token.text);
    }
    if (progress.finish) events_ += http::FinishEvent(*progress.finish);
    ended_ = progress.finish.has_value() || progress.abandoned;
  }

  Exchange& exchange_;
  std::string events_;
  std::size_t offset_ = 0;
  bool ended_ = false;
};

bool IsComplete(const Progress& progress) {
  return progress.finish &&
         progress.finish->outcome == core::Outcome::kComplete;
}

/// Returns whether the answer is that of an earlier request with the same key.
bool IsRecorded(const Progress& progress) {
  return IsComplete(progress) && progress.finish->claim.has_value();
}

http::Outgoing Healthy() {
  http::Outgoing outgoing;
  outgoing.headers = {{"Content-Type", "application/json"}};
  outgoing.body = R"({"status":"ok"})";
  return outgoing;
}

}  // namespace internal

CallerApi::CallerApi(Traffic& traffic, std::string self, Entry entry,
                     const ControlHooks& hooks)
    : traffic_(traffic),
      self_(std::move(self)),
      entry_(std::move(entry)),
      hooks_(hooks),
      started_(std::chrono::steady_clock::now()) {}

std::vector<http::Route> CallerApi::Routes() {
  return {
      {"GET", "/v1/entry",
       [this](http::Incoming&& incoming) { return AnswerEntry(incoming); }},
      {"POST", "/v1/completions",
       [this](http::Incoming&& incoming) { return Complete(incoming); }},
      {"*", "/v1/services/*",
       [this](http::Incoming&& incoming) {
         return CallService(std::move(incoming));
       }},
      {"GET", "/healthz", [](http::Incoming&&) { return internal::Healthy(); }},
  };
}

http::Outgoing CallerApi::AnswerEntry(const http::Incoming& incoming) {
  return http::Render(entry_(
      core::DataCentreId(incoming.Parameter("data_centre").value_or(""))));
}

http::Outgoing CallerApi::Complete(const http::Incoming& incoming) {
  const http::RequestLimits limits{static_cast<std::uint32_t>(
      traffic_.Policy(schema::PolicyKey::kRequestMaxTokens))};
  auto form = http::ReadCompletion(incoming, limits);
  if (const auto* problem = std::get_if<http::Problem>(&form)) {
    return Reject(*problem);
  }
  auto& request = std::get<http::CompletionRequest>(form);
  const auto& work = std::get<dispatch::Completion>(request.submission.work);
  if (!traffic_.Knows(work.model) && !IsYoung()) {
    return Reject({404, "model", "unknown model"});
  }
  Order order;
  order.digest = Digest({request.submission.workspace.value(), incoming.method,
                         incoming.url, incoming.body});
  order.submission = std::move(request.submission);
  order.connection = incoming.connection;
  if (request.stream) incoming.connection.BoundSendBuffer();
  const Ticket ticket = traffic_.Submit(std::move(order));
  return request.stream ? Stream(ticket) : Collect(ticket);
}

http::Outgoing CallerApi::CallService(http::Incoming&& incoming) {
  auto form = http::ReadServiceCall(incoming);
  if (const auto* problem = std::get_if<http::Problem>(&form)) {
    return Reject(*problem);
  }
  auto& request = std::get<http::ServiceRequest>(form);
  const auto& work = std::get<dispatch::ServiceCall>(request.submission.work);
  if (!traffic_.Knows(work.service) && !IsYoung()) {
    return Reject({404, "service", "unknown service"});
  }
  Order order;
  order.digest = Digest({request.submission.workspace.value(), incoming.method,
                         incoming.url, incoming.body});
  order.submission = std::move(request.submission);
  order.service.method = incoming.method;
  order.service.path = std::move(request.path);
  order.service.headers = internal::EndToEnd(incoming.headers);
  order.service.body = std::move(incoming.body);
  order.connection = incoming.connection;
  return CollectAnswer(traffic_.Submit(std::move(order)));
}

http::Outgoing CallerApi::Collect(const Ticket& ticket) {
  std::string text;
  std::uint32_t tokens = 0;
  Progress progress;
  do {
    progress = ticket.exchange->Await();
    for (const dispatch::DeliverToken& token : progress.tokens) {
      text += token.text;
      ++tokens;
    }
  } while (!progress.finish && !progress.abandoned);
  traffic_.Close(ticket.id);
  if (!internal::IsComplete(progress)) return Refuse(progress);
  return http::RenderCompletion(
      internal::IsRecorded(progress) ? progress.finish->body : text, tokens);
}

http::Outgoing CallerApi::Stream(const Ticket& ticket) {
  Progress first = ticket.exchange->Await();
  // A refusal before the first token keeps its status and headers.
  if (first.tokens.empty() && !internal::IsComplete(first)) {
    traffic_.Close(ticket.id);
    return Refuse(first);
  }
  if (internal::IsRecorded(first)) {
    first.tokens.push_back({ticket.id, 0, first.finish->body});
  }
  http::Outgoing outgoing;
  outgoing.headers = {{"Content-Type", "text/event-stream"},
                      {"Cache-Control", "no-store"}};
  // std::function needs a copyable target; `closed` runs once and frees it.
  auto* source = std::make_unique<internal::EventSource>(*ticket.exchange,
                                                         std::move(first))
                     .release();
  outgoing.stream = http::BodyStream{
      [source](char* out, std::size_t max) { return source->Read(out, max); },
      [source, id = ticket.id, &traffic = traffic_] {
        std::unique_ptr<internal::EventSource>(source).reset();
        traffic.Close(id);
      }};
  return outgoing;
}

http::Outgoing CallerApi::CollectAnswer(const Ticket& ticket) {
  Progress progress = ticket.exchange->Await();
  traffic_.Close(ticket.id);
  if (!internal::IsComplete(progress)) return Refuse(progress);
  if (!progress.reply) return http::RenderRecorded(*progress.finish);
  http::Outgoing outgoing;
  outgoing.status = progress.reply->status;
  outgoing.headers = internal::EndToEnd(progress.reply->headers);
  outgoing.headers.emplace_back("X-Foxquay-Outcome", "complete");
  outgoing.body = std::move(progress.reply->body);
  return outgoing;
}

http::Outgoing CallerApi::Refuse(const Progress& last) {
  if (!last.finish) return {};  // the caller is gone
  std::vector<http::EntryAddress> others;
  if (last.finish->outcome == core::Outcome::kNotRun && !last.finish->claim) {
    others = entry_(core::DataCentreId()).addresses;
    std::erase_if(others, [this](const http::EntryAddress& other) {
      return other.address == self_;
    });
  }
  return http::RenderFailure(*last.finish, others);
}

bool CallerApi::IsYoung() const {
  return std::chrono::steady_clock::now() - started_ < internal::kYouth;
}

http::Outgoing CallerApi::Reject(const http::Problem& problem) {
  if (hooks_.request_ended) {
    RequestEnd end;
    end.outcome = core::Outcome::kNotRun;
    end.reason = problem.field + ": " + problem.message;
    hooks_.request_ended(end);
  }
  return http::Render(problem);
}

}  // namespace foxquay::daemon
