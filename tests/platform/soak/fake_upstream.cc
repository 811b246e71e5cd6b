#include "platform/soak/fake_upstream.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <sstream>
#include <string_view>
#include <system_error>
#include <utility>

#include "foxquay/net/clock.h"
#include "platform/json.h"
#include "platform/soak/after.h"

namespace foxquay::platform::soak {
namespace {

constexpr std::chrono::milliseconds kHeartbeatInterval(500);
/// Time of a plain request, between two events and of loading layers.
constexpr std::chrono::milliseconds kRequestTime(15);
constexpr std::chrono::milliseconds kEventInterval(20);
constexpr std::chrono::milliseconds kLayerLoadTime(150);
/// Time between the loss of a stage, or an injected abort, and the abort of the
/// stream.
constexpr std::chrono::milliseconds kStallTime(300);
/// Time after an acknowledged drain in which requests may still arrive, from
/// the site files.
constexpr std::chrono::milliseconds kDrainBound(2500);

std::uint64_t NowMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

FakeUpstream::FakeUpstream(boost::asio::io_context& context, Options options,
                           InvariantChecker& checker,
                           FindUpstream find_upstream,
                           std::vector<std::string> control_addresses)
    : context_(context),
      options_(std::move(options)),
      checker_(checker),
      find_upstream_(std::move(find_upstream)),
      control_addresses_(std::move(control_addresses)),
      server_(context,
              {[this](net::ExchangeId exchange, net::Request&& request) {
                 Handle(exchange, std::move(request));
               },
               [this](net::ExchangeId exchange) { jobs_.erase(exchange); }}),
      client_(context, {[this](net::CallId, unsigned status, net::Fields&&) {
                          heartbeat_status_ = status;
                        },
                        [](net::CallId, std::string&&) {},
                        [this](net::CallId) {
                          HandleHeartbeatEnd(heartbeat_status_ / 100 == 2);
                        },
                        [this](net::CallId, net::Failure) {
                          HandleHeartbeatEnd(false);
                        }}),
      random_(options_.seed),
      started_ms_(NowMs()) {
  const std::error_code error =
      server_.Listen(options_.ip + ":" + options_.port);
  if (error) throw std::system_error(error, "listen");
  control_index_ = random_() % control_addresses_.size();
  SendHeartbeat();
}

bool FakeUpstream::Holds(unsigned first, unsigned end) const {
  return alive_ && first_ <= first && end <= end_;
}

bool FakeUpstream::CrashesBeforeHead(const net::Request& request) const {
  return !options_.crashing_target.empty() &&
         request.target.find(options_.crashing_target) != std::string::npos;
}

bool FakeUpstream::Crashes(const net::Request& request) const {
  if (CrashesBeforeHead(request)) return true;
  const std::string parts(request.fields["X-Prompt-Prefix"]);
  const std::size_t last = parts.rfind(',');
  return !options_.crashing_part.empty() && last != std::string::npos &&
         parts.substr(0, last).find(options_.crashing_part + ":") !=
             std::string::npos;
}

void FakeUpstream::Crash() {
  if (!std::exchange(alive_, false)) return;
  const auto open = std::exchange(jobs_, {});
  for (const auto& [exchange, job] : open) server_.Abort(exchange);
  server_.StopAccepting();
  if (heartbeat_) client_.Cancel(*std::exchange(heartbeat_, std::nullopt));
}

void FakeUpstream::Drain() { draining_ = true; }

core::Duration FakeUpstream::Slowed(std::chrono::milliseconds normal) const {
  return std::chrono::duration_cast<core::Duration>(normal * slowdown_);
}

std::string FakeUpstream::LayersJson() const {
  if (first_ == end_) return "";
  return R"(,"layers":{"from":)" + std::to_string(first_) + R"(,"to":)" +
         std::to_string(end_) + R"(,"version":1})";
}

std::string FakeUpstream::Announcement() {
  std::ostringstream out;
  out << R"({"service":")" << options_.service << R"(","address":")"
      << options_.address << R"(","zone":")" << options_.zone
      << R"(","version":"v1","slots":64,"state":")"
      << (draining_ ? "draining" : "ready") << R"(","cold_left_ms":0,"born":)"
      << started_ms_ << R"(,"seq":)" << ++heartbeats_;
  if (options_.service == "model") {
    out << R"(,"stage":"both","kind":"card","models":[{"name":"m","version":1,)"
        << R"("adapters":[]}])" << LayersJson();
  }
  out << "}";
  return out.str();
}

void FakeUpstream::SendHeartbeat() {
  if (!alive_) return;
  if (exit_at_ && net::SteadyNow() > *exit_at_) {
    Crash();
    return;
  }
  After(context_, kHeartbeatInterval, [this] { SendHeartbeat(); });
  server_.Sweep(net::SteadyNow());
  client_.Sweep(net::SteadyNow());
  if (heartbeat_) {
    client_.Cancel(*heartbeat_);
    HandleHeartbeatEnd(false);
  }
  net::Request request;
  request.method = "PUT";
  request.target = "/v1/instances/" + options_.id;
  request.fields.set("Host", "control");
  request.body = Announcement();
  heartbeat_ = client_.Call(control_addresses_[control_index_],
                            net::Serialize(request), {});
}

void FakeUpstream::HandleHeartbeatEnd(bool acknowledged) {
  heartbeat_.reset();
  if (!acknowledged) {
    control_index_ = (control_index_ + 1) % control_addresses_.size();
    return;
  }
  if (!draining_ || exit_at_) return;
  drain_bound_ = net::SteadyNow() + kDrainBound;
  exit_at_ = *drain_bound_ + std::chrono::seconds(2);
}

void FakeUpstream::Respond(net::ExchangeId exchange, unsigned status,
                           const std::string& body,
                           const std::string& failed_address,
                           bool not_executed) {
  net::Response response = net::MakeResponse(status, "application/json", body);
  if (!failed_address.empty()) response.fields.set("At-Server", failed_address);
  if (not_executed) response.fields.set("X-Not-Executed", "1");
  if (says_leaving_) response.fields.set("Server-Leaving", "1");
  if (!limit_.empty()) response.fields.set("Server-Limit", limit_);
  const core::Instant now = net::SteadyNow();
  const core::Instant until =
      std::max(declines_until_, declines_inquiries_until_);
  if (status == 503 && now < until) {
    const std::chrono::duration<double> left = until - now;
    response.fields.set("Retry-After", std::to_string(left.count()));
  }
  const auto found = jobs_.find(exchange);
  if (found != jobs_.end()) {
    const Job& job = found->second;
    response.fields.set("X-Request-Id", job.id);
    if (status == 200) response.fields.set("X-Response-Stamp", job.id);
    jobs_.erase(found);
  }
  server_.Respond(exchange, response);
}

void FakeUpstream::Handle(net::ExchangeId exchange, net::Request&& request) {
  if (!alive_) return;
  if (request.target == "/health") {
    net::Response response =
        net::MakeResponse(draining_ ? 503 : 200, "text/plain", "");
    response.fields.set("X-Instance-Id", options_.id);
    server_.Respond(exchange, response);
  } else if (request.target == "/v1/report" &&
             net::SteadyNow() < declines_inquiries_until_) {
    ++declined_inquiries_;
    Respond(exchange, 503, "{}", "", true);
  } else if (request.target == "/v1/report") {
    Respond(exchange, 200,
            R"({"stage":"both","models":[{"name":"m","version":1,)"
            R"("adapters":[]}],"busy":)" +
                std::string(loading_ ? "true" : "false") + R"(,"seq":)" +
                std::to_string(orders_taken_) +
                R"(,"queued":0,"running":0,"kv_used":0,"kv_total":100000,)"
                R"("handles":0,"pace":1.0)" +
                LayersJson() + "}");
  } else if (request.target == "/v1/order") {
    HandleOrder(exchange, request);
  } else {
    StartJob(exchange, std::move(request));
  }
}

void FakeUpstream::HandleOrder(net::ExchangeId exchange,
                               const net::Request& request) {
  const auto order = ParseJson(request.body);
  if (!order) return Respond(exchange, 400, "{}");
  const unsigned first = order->value("from", 0U);
  const unsigned end = order->value("to", 0U);
  const std::uint64_t fence = order->value("fence", std::uint64_t{0});
  if (end - first > kMaxHeldLayers || end > kModelLayers || first >= end) {
    checker_.ReportViolation(
        "no order exceeds the layers that an upstream can hold", request.body);
  }
  if (fence < fence_) return Respond(exchange, 412, "{}");
  fence_ = fence;
  if (first_ == first && end_ == end) return Respond(exchange, 200, "{}");
  if (loading_ || order->value("expected", orders_taken_) != orders_taken_) {
    return Respond(exchange, 409, "{}");
  }
  ++orders_taken_;
  loading_ = true;
  first_ = end_ = 0;
  After(context_, kLayerLoadTime, [this, first, end] {
    first_ = first;
    end_ = end;
    loading_ = false;
  });
  Respond(exchange, 202, "{}");
}

std::optional<std::vector<std::string>> FakeUpstream::ParsePath(
    net::ExchangeId exchange, const net::Request& request) {
  std::vector<std::string> stages;
  unsigned covered = 0;
  std::istringstream path{std::string(request.fields["X-Hop-Count"])};
  for (std::string hop; std::getline(path, hop, ',');) {
    const std::size_t equals = hop.find('=');
    const std::size_t dash = hop.find('-', equals);
    const auto first =
        static_cast<unsigned>(std::stoul(hop.substr(equals + 1)));
    const auto end = static_cast<unsigned>(std::stoul(hop.substr(dash + 1)));
    const std::string address = hop.substr(0, equals);
    const FakeUpstream* upstream = find_upstream_(address);
    if (upstream == nullptr || upstream->draining_) {
      Respond(exchange, 503, "{}", address, true);
      return std::nullopt;
    }
    if (!upstream->Holds(first, end)) {
      Respond(exchange, 421, "{}", address);
      return std::nullopt;
    }
    if (first != covered) {
      checker_.ReportViolation("a path covers every layer once and in order",
                               std::string(request.fields["X-Hop-Count"]));
    }
    covered = end;
    stages.push_back(address);
  }
  if (stages.empty() || stages.front() != options_.address) {
    Respond(exchange, stages.empty() ? 421 : 400, "{}");
    return std::nullopt;
  }
  if (covered != kModelLayers) {
    checker_.ReportViolation("a path covers every layer once and in order",
                             std::string(request.fields["X-Hop-Count"]));
  }
  return stages;
}

void FakeUpstream::StartJob(net::ExchangeId exchange, net::Request&& request) {
  if (options_.on_request) options_.on_request(request);
  const core::Instant now = net::SteadyNow();
  Job job;
  job.id = std::string(request.fields["X-Request-Id"]);
  if (request.fields["X-Expect-Instance"] != options_.id) {
    return Respond(exchange, 421, "{}");
  }
  if (now < declines_until_) return Respond(exchange, 503, "{}", "", true);
  if (drain_bound_ && now > *drain_bound_ && checker_.Settled(now)) {
    checker_.ReportViolation("no request reaches an upstream after its drain",
                             options_.id);
  }
  const bool stream = options_.service == "model";
  if (stream) {
    auto stages = ParsePath(exchange, request);
    if (!stages) return;
    job.stages = *std::move(stages);
  }
  checker_.RecordExecution(options_.service, request);
  const std::string last(request.fields["Last-Event-Id"]);
  if (!last.empty()) job.last_event = static_cast<unsigned>(std::stoul(last));
  if (stream && !CrashesBeforeHead(request)) {
    net::Response head = net::MakeResponse(200, "text/event-stream", "");
    head.fields.set("X-Request-Id", job.id);
    head.fields.set("X-Response-Stamp", job.id);
    if (says_leaving_) head.fields.set("Server-Leaving", "1");
    if (!limit_.empty()) head.fields.set("Server-Limit", limit_);
    server_.Start(exchange, head);
  }
  job.request = std::move(request);
  jobs_.emplace(exchange, std::move(job));
  if (stream) {
    After(context_, Slowed(kEventInterval),
          [this, exchange] { SendEvent(exchange); });
  } else {
    After(context_, Slowed(kRequestTime),
          [this, exchange] { FinishJob(exchange); });
  }
}

void FakeUpstream::SendEvent(net::ExchangeId exchange) {
  const auto found = jobs_.find(exchange);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  if (Crashes(job.request)) return Crash();
  const bool path_alive = std::all_of(
      job.stages.begin(), job.stages.end(), [this](const std::string& address) {
        return find_upstream_(address) != nullptr;
      });
  std::uniform_real_distribution<double> chance;
  if (!path_alive || chance(random_) < abort_probability_ / kStreamEvents) {
    After(context_, kStallTime, [this, exchange] {
      if (jobs_.erase(exchange) != 0) server_.Abort(exchange);
    });
    return;
  }
  const std::string event = MakeEvent(job.id, ++job.last_event);
  if (job.last_event < kStreamEvents) {
    server_.Send(exchange, event);
    After(context_, Slowed(kEventInterval),
          [this, exchange] { SendEvent(exchange); });
    return;
  }
  jobs_.erase(found);
  server_.Send(exchange, event);
  server_.End(exchange);
}

void FakeUpstream::FinishJob(net::ExchangeId exchange) {
  const auto found = jobs_.find(exchange);
  if (found == jobs_.end()) return;
  if (Crashes(found->second.request)) return Crash();
  std::uniform_real_distribution<double> chance;
  if (chance(random_) < abort_probability_) {
    jobs_.erase(found);
    server_.Abort(exchange);
    return;
  }
  const std::string body = MakeAnswer(found->second.id);
  Respond(exchange, 200, body);
}

}  // namespace foxquay::platform::soak
