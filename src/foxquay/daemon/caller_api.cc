#include "foxquay/daemon/caller_api.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstring>
#include <string_view>
#include <utility>
#include <variant>

#include "foxquay/core/digest.h"

namespace foxquay::daemon {
namespace internal {

/// Time after the start in which upstreams may not have announced themselves
/// yet. Unknown models and services are not rejected during it.
constexpr std::chrono::milliseconds kStartupPeriod{1800};

/// Headers that belong to one connection or one hop, in lower case.
constexpr std::array<std::string_view, 11> kNotForwardedHeaders{
    "connection",
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

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

/// Returns the headers that are forwarded between caller and service.
std::vector<std::pair<std::string, std::string>> ForwardedHeaders(
    const std::vector<std::pair<std::string, std::string>>& headers) {
  std::vector<std::pair<std::string, std::string>> forwarded;
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(forwarded),
               [](const auto& header) {
                 return std::find(kNotForwardedHeaders.begin(),
                                  kNotForwardedHeaders.end(),
                                  ToLower(header.first)) ==
                        kNotForwardedHeaders.end();
               });
  return forwarded;
}

/// Reads the results of a request as server-sent events. Not thread-safe.
class EventSource {
 public:
  EventSource(ResultChannel& channel, Progress&& first) : channel_(channel) {
    Append(first);
  }

  std::size_t Read(char* out, std::size_t max) {
    if (offset_ == events_.size()) {
      events_.clear();
      offset_ = 0;
      if (ended_) return 0;
      Append(channel_.Await());
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

  ResultChannel& channel_;
  std::string events_;
  std::size_t offset_ = 0;
  bool ended_ = false;
};

bool IsComplete(const Progress& progress) {
  return progress.finish &&
         progress.finish->outcome == core::Outcome::kComplete;
}

/// Returns whether the answer was recorded by an earlier request with the same
/// key.
bool IsRecorded(const Progress& progress) {
  return IsComplete(progress) && progress.finish->claim.has_value();
}

http::Outgoing HealthPage() {
  http::Outgoing outgoing;
  outgoing.headers = {{"Content-Type", "application/json"}};
  outgoing.body = R"({"status":"ok"})";
  return outgoing;
}

}  // namespace internal

CallerApi::CallerApi(Traffic& traffic, std::string own_address,
                     EntryProvider entry_provider, const ControlHooks& hooks)
    : traffic_(traffic),
      own_address_(std::move(own_address)),
      entry_provider_(std::move(entry_provider)),
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
      {"GET", "/healthz",
       [](http::Incoming&&) { return internal::HealthPage(); }},
  };
}

http::Outgoing CallerApi::AnswerEntry(const http::Incoming& incoming) {
  return http::Render(entry_provider_(
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
  if (!traffic_.WasAnnounced(work.model) && !IsStartingUp()) {
    return Reject({404, "model", "unknown model"});
  }
  IncomingRequest submitted;
  submitted.digest =
      core::Digest({request.submission.workspace.value(), incoming.method,
                    incoming.url, incoming.body});
  submitted.submission = std::move(request.submission);
  submitted.connection = incoming.connection;
  if (request.stream) incoming.connection.BoundSendBuffer();
  const RequestHandle handle = traffic_.Submit(std::move(submitted));
  return request.stream ? StreamCompletion(handle) : CollectCompletion(handle);
}

http::Outgoing CallerApi::CallService(http::Incoming&& incoming) {
  auto form = http::ReadServiceCall(incoming);
  if (const auto* problem = std::get_if<http::Problem>(&form)) {
    return Reject(*problem);
  }
  auto& request = std::get<http::ServiceRequest>(form);
  const auto& work = std::get<dispatch::ServiceCall>(request.submission.work);
  if (!traffic_.WasAnnounced(work.service) && !IsStartingUp()) {
    return Reject({404, "service", "unknown service"});
  }
  IncomingRequest submitted;
  submitted.digest =
      core::Digest({request.submission.workspace.value(), incoming.method,
                    incoming.url, incoming.body});
  submitted.submission = std::move(request.submission);
  submitted.service.method = incoming.method;
  submitted.service.path = std::move(request.path);
  submitted.service.headers = internal::ForwardedHeaders(incoming.headers);
  submitted.service.body = std::move(incoming.body);
  submitted.connection = incoming.connection;
  return CollectServiceReply(traffic_.Submit(std::move(submitted)));
}

http::Outgoing CallerApi::CollectCompletion(const RequestHandle& handle) {
  std::string text;
  std::uint32_t tokens = 0;
  Progress progress;
  do {
    progress = handle.channel->Await();
    for (const dispatch::DeliverToken& token : progress.tokens) {
      text += token.text;
      ++tokens;
    }
  } while (!progress.finish && !progress.abandoned);
  traffic_.Close(handle.id);
  if (!internal::IsComplete(progress)) return RenderIncomplete(progress);
  return http::RenderCompletion(
      internal::IsRecorded(progress) ? progress.finish->body : text, tokens);
}

http::Outgoing CallerApi::StreamCompletion(const RequestHandle& handle) {
  Progress first = handle.channel->Await();
  // A request that fails before its first token is answered with its own status
  // and headers, not with an event stream.
  if (first.tokens.empty() && !internal::IsComplete(first)) {
    traffic_.Close(handle.id);
    return RenderIncomplete(first);
  }
  if (internal::IsRecorded(first)) {
    first.tokens.push_back({handle.id, 0, first.finish->body});
  }
  http::Outgoing outgoing;
  outgoing.headers = {{"Content-Type", "text/event-stream"},
                      {"Cache-Control", "no-store"}};
  // std::function needs a copyable target, so the source is passed as a raw
  // pointer; the second function runs exactly once and deletes it.
  auto* source =
      std::make_unique<internal::EventSource>(*handle.channel, std::move(first))
          .release();
  outgoing.stream = http::BodyStream{
      [source](char* out, std::size_t max) { return source->Read(out, max); },
      [source, id = handle.id, &traffic = traffic_] {
        std::unique_ptr<internal::EventSource>(source).reset();
        traffic.Close(id);
      }};
  return outgoing;
}

http::Outgoing CallerApi::CollectServiceReply(const RequestHandle& handle) {
  Progress progress = handle.channel->Await();
  traffic_.Close(handle.id);
  if (!internal::IsComplete(progress)) return RenderIncomplete(progress);
  if (!progress.reply) return http::RenderRecorded(*progress.finish);
  http::Outgoing outgoing;
  outgoing.status = progress.reply->status;
  outgoing.headers = internal::ForwardedHeaders(progress.reply->headers);
  outgoing.headers.emplace_back("X-Foxquay-Outcome", "complete");
  outgoing.body = std::move(progress.reply->body);
  return outgoing;
}

http::Outgoing CallerApi::RenderIncomplete(const Progress& progress) {
  if (!progress.finish) return {};  // the caller has disconnected
  std::vector<http::EntryAddress> others;
  if (progress.finish->outcome == core::Outcome::kNotRun &&
      !progress.finish->claim) {
    others = entry_provider_(core::DataCentreId()).addresses;
    std::erase_if(others, [this](const http::EntryAddress& other) {
      return other.address == own_address_;
    });
  }
  return http::RenderFailure(*progress.finish, others);
}

bool CallerApi::IsStartingUp() const {
  return std::chrono::steady_clock::now() - started_ < internal::kStartupPeriod;
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
