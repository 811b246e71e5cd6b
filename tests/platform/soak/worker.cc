#include "platform/soak/worker.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <sstream>
#include <string_view>
#include <utility>

#include "foxquay/net/clock.h"
#include "platform/json.h"
#include "platform/soak/after.h"

namespace foxquay::platform::soak {
namespace {

constexpr std::chrono::milliseconds kBeatInterval(500);
/// Time of a plain request, of an event and of loading layers.
constexpr std::chrono::milliseconds kWork(15);
constexpr std::chrono::milliseconds kGap(20);
constexpr std::chrono::milliseconds kLoad(150);
/// Time that a stream waits for a stage that is gone.
constexpr std::chrono::milliseconds kStall(300);
/// Bound on requests after an acknowledged drain, from the site files.
constexpr std::chrono::milliseconds kDrain(2500);

std::uint64_t NowMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

Worker::Worker(boost::asio::io_context& context, Options options,
               Ledger& ledger, FindWorker find,
               std::vector<std::string> controls)
    : context_(context),
      options_(std::move(options)),
      ledger_(ledger),
      find_(std::move(find)),
      controls_(std::move(controls)),
      server_(context,
              {[this](net::ExchangeId exchange, net::Request&& request) {
                 Handle(exchange, std::move(request));
               },
               [this](net::ExchangeId exchange) { jobs_.erase(exchange); }}),
      client_(context,
              {[this](net::CallId, unsigned status, net::Fields&&) {
                 beat_status_ = status;
               },
               [](net::CallId, std::string&&) {},
               [this](net::CallId) { HandleBeatEnd(beat_status_ / 100 == 2); },
               [this](net::CallId, net::Failure) { HandleBeatEnd(false); }}),
      random_(options_.seed),
      born_(NowMs()) {
  if (server_.Listen(options_.ip + ":0")) throw std::runtime_error("listen");
  control_ = random_() % controls_.size();
  Beat();
}

bool Worker::Holds(unsigned first, unsigned end) const {
  return alive_ && first_ <= first && end <= end_;
}

void Worker::Crash() {
  if (!std::exchange(alive_, false)) return;
  const auto open = std::exchange(jobs_, {});
  for (const auto& [exchange, job] : open) server_.Abort(exchange);
  server_.StopAccepting();
  if (beat_) client_.Cancel(*std::exchange(beat_, std::nullopt));
}

void Worker::Drain() { draining_ = true; }

core::Duration Worker::Time(std::chrono::milliseconds usual) const {
  return std::chrono::duration_cast<core::Duration>(usual * pace_);
}

std::string Worker::LayersText() const {
  if (first_ == end_) return "";
  return R"(,"layers":{"from":)" + std::to_string(first_) + R"(,"to":)" +
         std::to_string(end_) + R"(,"version":1})";
}

std::string Worker::Announcement() {
  std::ostringstream out;
  out << R"({"service":")" << options_.service << R"(","address":")"
      << options_.address << R"(","zone":")" << options_.zone
      << R"(","version":"v1","slots":64,"state":")"
      << (draining_ ? "draining" : "ready") << R"(","cold_left_ms":0,"born":)"
      << born_ << R"(,"seq":)" << ++beats_;
  if (options_.service == "model") {
    out << R"(,"stage":"both","kind":"card","models":[{"name":"m","version":1,)"
        << R"("adapters":[]}])" << LayersText();
  }
  out << "}";
  return out.str();
}

void Worker::Beat() {
  if (!alive_) return;
  if (leaves_ && net::SteadyNow() > *leaves_) {
    Crash();
    return;
  }
  After(context_, kBeatInterval, [this] { Beat(); });
  server_.Sweep(net::SteadyNow());
  client_.Sweep(net::SteadyNow());
  if (beat_) {
    client_.Cancel(*beat_);
    HandleBeatEnd(false);
  }
  net::Request request;
  request.method = "PUT";
  request.target = "/v1/instances/" + options_.id;
  request.fields.set("Host", "control");
  request.body = Announcement();
  beat_ = client_.Call(controls_[control_], net::Serialize(request), {});
}

void Worker::HandleBeatEnd(bool acknowledged) {
  beat_.reset();
  if (!acknowledged) {
    control_ = (control_ + 1) % controls_.size();
    return;
  }
  if (!draining_ || leaves_) return;
  closed_ = net::SteadyNow() + kDrain;
  leaves_ = *closed_ + std::chrono::seconds(2);
}

void Worker::Respond(net::ExchangeId exchange, unsigned status,
                     const std::string& body, const std::string& fault,
                     bool not_run) {
  net::Response response = net::MakeResponse(status, "application/json", body);
  if (!fault.empty()) response.fields.set("At-Server", fault);
  if (not_run) response.fields.set("X-Not-Executed", "1");
  const auto found = jobs_.find(exchange);
  if (found != jobs_.end()) {
    const Job& job = found->second;
    response.fields.set("X-Request-Id", job.id);
    if (status == 200) response.fields.set("X-Response-Stamp", job.id);
    jobs_.erase(found);
  }
  server_.Respond(exchange, response);
}

void Worker::Handle(net::ExchangeId exchange, net::Request&& request) {
  if (!alive_) return;
  if (request.target == "/health") {
    net::Response response =
        net::MakeResponse(draining_ ? 503 : 200, "text/plain", "");
    response.fields.set("X-Instance-Id", options_.id);
    server_.Respond(exchange, response);
  } else if (request.target == "/v1/report") {
    Respond(exchange, 200,
            R"({"stage":"both","models":[{"name":"m","version":1,)"
            R"("adapters":[]}],"busy":)" +
                std::string(busy_ ? "true" : "false") + R"(,"seq":)" +
                std::to_string(orders_) +
                R"(,"queued":0,"running":0,"kv_used":0,"kv_total":100000,)"
                R"("handles":0,"pace":1.0)" +
                LayersText() + "}");
  } else if (request.target == "/v1/order") {
    HandleOrder(exchange, request);
  } else {
    Run(exchange, std::move(request));
  }
}

void Worker::HandleOrder(net::ExchangeId exchange,
                         const net::Request& request) {
  const auto order = ParseJson(request.body);
  if (!order) return Respond(exchange, 400, "{}");
  const unsigned first = order->value("from", 0U);
  const unsigned end = order->value("to", 0U);
  const std::uint64_t fence = order->value("fence", std::uint64_t{0});
  if (end - first > kMaxLayers || end > kLayers || first >= end) {
    ledger_.Report("no worker is ordered to hold more than it can",
                   request.body);
  }
  if (fence < fence_) return Respond(exchange, 412, "{}");
  fence_ = fence;
  if (first_ == first && end_ == end) return Respond(exchange, 200, "{}");
  if (busy_ || order->value("expected", orders_) != orders_) {
    return Respond(exchange, 409, "{}");
  }
  ++orders_;
  busy_ = true;
  first_ = end_ = 0;
  After(context_, kLoad, [this, first, end] {
    first_ = first;
    end_ = end;
    busy_ = false;
  });
  Respond(exchange, 202, "{}");
}

std::optional<std::vector<std::string>> Worker::Stages(
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
    const Worker* worker = find_(address);
    if (worker == nullptr || worker->draining_) {
      Respond(exchange, 503, "{}", address, true);
      return std::nullopt;
    }
    if (!worker->Holds(first, end)) {
      Respond(exchange, 421, "{}", address);
      return std::nullopt;
    }
    if (first != covered) {
      ledger_.Report("a path runs every layer once and in order",
                     std::string(request.fields["X-Hop-Count"]));
    }
    covered = end;
    stages.push_back(address);
  }
  if (stages.empty() || stages.front() != options_.address) {
    Respond(exchange, stages.empty() ? 421 : 400, "{}");
    return std::nullopt;
  }
  if (covered != kLayers) {
    ledger_.Report("a path runs every layer once and in order",
                   std::string(request.fields["X-Hop-Count"]));
  }
  return stages;
}

void Worker::Run(net::ExchangeId exchange, net::Request&& request) {
  const core::Instant now = net::SteadyNow();
  Job job;
  job.id = std::string(request.fields["X-Request-Id"]);
  if (request.fields["X-Expect-Instance"] != options_.id) {
    return Respond(exchange, 421, "{}");
  }
  if (closed_ && now > *closed_ && ledger_.Calm(now)) {
    ledger_.Report("nothing reaches an upstream that has left", options_.id);
  }
  const bool stream = options_.service == "model";
  if (stream) {
    auto stages = Stages(exchange, request);
    if (!stages) return;
    job.stages = *std::move(stages);
  }
  ledger_.NoteRun(options_.service, request);
  const std::string last(request.fields["Last-Event-Id"]);
  if (!last.empty()) job.event = static_cast<unsigned>(std::stoul(last));
  if (stream) {
    net::Response head = net::MakeResponse(200, "text/event-stream", "");
    head.fields.set("X-Request-Id", job.id);
    head.fields.set("X-Response-Stamp", job.id);
    server_.Start(exchange, head);
  }
  job.request = std::move(request);
  jobs_.emplace(exchange, std::move(job));
  if (stream) {
    After(context_, Time(kGap), [this, exchange] { Step(exchange); });
  } else {
    After(context_, Time(kWork), [this, exchange] { Finish(exchange); });
  }
}

void Worker::Step(net::ExchangeId exchange) {
  const auto found = jobs_.find(exchange);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  const bool whole = std::all_of(
      job.stages.begin(), job.stages.end(),
      [this](const std::string& address) { return find_(address) != nullptr; });
  std::uniform_real_distribution<double> chance;
  if (!whole || chance(random_) < cut_share_ / kEvents) {
    After(context_, kStall, [this, exchange] {
      if (jobs_.erase(exchange) != 0) server_.Abort(exchange);
    });
    return;
  }
  const std::string event = EventOf(job.id, ++job.event);
  if (job.event < kEvents) {
    server_.Send(exchange, event);
    After(context_, Time(kGap), [this, exchange] { Step(exchange); });
    return;
  }
  jobs_.erase(found);
  server_.Send(exchange, event);
  server_.End(exchange);
}

void Worker::Finish(net::ExchangeId exchange) {
  const auto found = jobs_.find(exchange);
  if (found == jobs_.end()) return;
  std::uniform_real_distribution<double> chance;
  if (chance(random_) < cut_share_) {
    jobs_.erase(found);
    server_.Abort(exchange);
    return;
  }
  const std::string body = AnswerOf(found->second.id);
  Respond(exchange, 200, body);
}

}  // namespace foxquay::platform::soak
