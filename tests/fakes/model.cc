#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fakes/announcer.h"
#include "fakes/options.h"
#include "fakes/token.h"
#include "foxquay/http/client.h"
#include "foxquay/http/server.h"

namespace foxquay::fakes {
namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kStepTimeout{30};
constexpr std::chrono::seconds kLeaveGrace{2};

http::Outgoing JsonReply(std::uint32_t status, const Json& body) {
  http::Outgoing outgoing;
  outgoing.status = status;
  outgoing.headers = {{"Content-Type", "application/json"}};
  outgoing.body = body.dump();
  return outgoing;
}

/// Returns a reply to a leg of which nothing has been executed.
http::Outgoing Refusal(std::uint32_t status, const std::string& error) {
  http::Outgoing outgoing = JsonReply(status, {{"error", error}});
  outgoing.headers.emplace_back("X-Foxquay-Outcome", "not-run");
  return outgoing;
}

/// One token while it passes through the stages of a chain.
struct Step {
  std::string request;
  std::uint64_t epoch = 0;
  std::uint32_t token = 0;
  Json chain;
  std::size_t position = 0;
  std::uint64_t activation = 0;
};

/// Result of a stage and of the stages after it.
struct StepResult {
  std::uint32_t status = 200;
  std::string text;     ///< The token, if status is 200.
  std::string culprit;  ///< Upstream that failed, if status is not 200.
};

/// A model upstream that holds a range of layers.
class Model {
 public:
  explicit Model(const Options& options)
      : options_(options),
        announcer_(options_),
        log_(options_.log),
        fault_injector_(options_, announcer_) {}

  std::vector<http::Route> Routes() {
    return {
        {"POST", "/v1/legs",
         [this](http::Incoming&& incoming) { return StartLeg(incoming); }},
        {"DELETE", "/v1/legs/:request",
         [this](http::Incoming&& incoming) { return Cancel(incoming); }},
        {"POST", "/v1/steps",
         [this](http::Incoming&& incoming) { return ServeStep(incoming); }},
    };
  }

  Announcer& announcer() { return announcer_; }
  [[nodiscard]] int running() const { return running_.load(); }

 private:
  /// A leg whose first stage is this upstream.
  struct Leg {
    std::string request;
    std::uint64_t epoch = 0;
    std::string prompt;
    Json chain;
    std::uint32_t next = 0;
    std::uint32_t end = 0;
    Clock::time_point token_due;
    std::string unread;  ///< Line that the response sends now.
    std::size_t offset = 0;
    bool ended = false;
  };

  /// State that this stage keeps of a request.
  struct RequestState {
    std::uint64_t epoch = 0;
    std::optional<std::uint32_t> last_token;  ///< Last token of this epoch.
    std::uint64_t canceled = 0;               ///< Newest canceled epoch.
  };

  http::Outgoing StartLeg(const http::Incoming& incoming) {
    const Json body = Json::parse(incoming.body, nullptr, false);
    if (!body.is_object()) return Refusal(400, "malformed leg");
    if (options_.refuse || announcer_.leaving()) {
      return Refusal(503, "upstream takes no new requests");
    }
    auto leg = std::make_unique<Leg>();
    leg->request = body.at("request");
    leg->epoch = body.at("epoch");
    leg->prompt = body.at("prompt");
    leg->chain = body.at("chain");
    leg->next = body.at("first_token");
    leg->end = leg->next + body.at("count").get<std::uint32_t>();
    leg->token_due = Clock::now();
    if (body.at("delivered").size() != leg->next) {
      return Refusal(400, "first_token is not the number of delivered tokens");
    }
    running_.fetch_add(1);
    announcer_.AddLoad(1);
    http::Outgoing outgoing;
    outgoing.headers = {{"Content-Type", "application/x-ndjson"}};
    Leg* released =
        leg.release();  // freed when the response is closed, which happens once
    outgoing.stream =
        http::BodyStream{[this, released](char* out, std::size_t max) {
                           return ReadLeg(*released, out, max);
                         },
                         [this, released] {
                           std::unique_ptr<Leg>(released).reset();
                           announcer_.AddLoad(-1);
                           running_.fetch_sub(1);
                         }};
    return outgoing;
  }

  std::size_t ReadLeg(Leg& leg, char* out, std::size_t max) {
    if (leg.offset == leg.unread.size()) {
      if (leg.ended) return 0;
      leg.unread = NextLine(leg);
      leg.offset = 0;
    }
    const std::size_t count = leg.unread.copy(out, max, leg.offset);
    leg.offset += count;
    return count;
  }

  std::string NextLine(Leg& leg) {
    if (leg.next == leg.end) return End(leg, "chunk", "");
    if (options_.stop_at != 0 && leg.next >= options_.stop_at) {
      return End(leg, "stop", "");
    }
    leg.token_due += options_.token_time;
    std::this_thread::sleep_until(leg.token_due);
    Step step{leg.request, leg.epoch, leg.next,
              leg.chain,   0,         Activation(leg.prompt, leg.next)};
    const StepResult result = RunStep(step);
    if (result.status != 200) return End(leg, "failed", result.culprit);
    const Json line = {
        {"epoch", leg.epoch}, {"index", leg.next}, {"text", result.text}};
    ++leg.next;
    return line.dump() + "\n";
  }

  static std::string End(Leg& leg, const char* reason,
                         const std::string& culprit) {
    leg.ended = true;
    Json line = {{"epoch", leg.epoch}, {"end", reason}};
    if (!culprit.empty()) line["culprit"] = culprit;
    return line.dump() + "\n";
  }

  http::Outgoing Cancel(const http::Incoming& incoming) {
    const std::string request = incoming.Parameter("request").value_or("");
    const std::string epoch = incoming.Parameter("epoch").value_or("");
    const std::lock_guard lock(mutex_);
    RequestState& state = requests_[request];
    const std::uint64_t epoch_bound =
        epoch.empty() ? state.epoch : std::strtoull(epoch.c_str(), nullptr, 10);
    state.canceled = std::max(state.canceled, epoch_bound);
    log_.Write("cancel " + request + " " + std::to_string(epoch_bound) + "\n");
    return JsonReply(200, Json::object());
  }

  http::Outgoing ServeStep(const http::Incoming& incoming) {
    const Json body = Json::parse(incoming.body, nullptr, false);
    if (!body.is_object()) return JsonReply(400, {{"error", "malformed step"}});
    Step step{body.at("request"), body.at("epoch"),    body.at("token"),
              body.at("chain"),   body.at("position"), body.at("activation")};
    const StepResult result = RunStep(step);
    return JsonReply(result.status,
                     {{"text", result.text}, {"culprit", result.culprit}});
  }

  /// Runs this stage's layers and then the stages after it.
  StepResult RunStep(Step& step) {
    if (!Admit(step)) return {409, "", ""};
    fault_injector_.BeforeWork();
    const Json& stage = step.chain.at(step.position);
    std::string lines;
    for (std::uint32_t layer = stage.at("first"); layer <= stage.at("last");
         ++layer) {
      if (layer < options_.first_layer || layer > options_.last_layer) {
        return {400, "", options_.id};
      }
      step.activation = RunLayer(step.activation, layer);
      lines += step.request + " " + std::to_string(step.epoch) + " " +
               std::to_string(step.token) + " " + std::to_string(layer) + "\n";
    }
    log_.Write(lines);
    if (step.position + 1 == step.chain.size()) {
      return {200, TokenText(step.activation), ""};
    }
    ++step.position;
    return Forward(step);
  }

  /// Returns whether a step may run: not if its epoch is older than one seen or
  /// canceled, or if its token is out of order.
  bool Admit(const Step& step) {
    const std::lock_guard lock(mutex_);
    RequestState& state = requests_[step.request];
    if (step.epoch < state.epoch || step.epoch <= state.canceled) return false;
    if (step.epoch > state.epoch) {
      state.epoch = step.epoch;
      state.last_token.reset();
    }
    if (state.last_token && step.token != *state.last_token + 1) return false;
    state.last_token = step.token;
    return true;
  }

  static StepResult Forward(const Step& step) {
    const Json& next = step.chain.at(step.position);
    http::ServiceSend call;
    call.method = "POST";
    call.address = next.at("address");
    call.path = "/v1/steps";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = Json({{"request", step.request},
                      {"epoch", step.epoch},
                      {"token", step.token},
                      {"chain", step.chain},
                      {"position", step.position},
                      {"activation", step.activation}})
                    .dump();
    call.time_left = kStepTimeout;
    const http::ServiceResult result = http::CallService(call);
    if (!result.reply) return {502, "", next.at("id")};
    const Json body = Json::parse(result.reply->body, nullptr, false);
    if (!body.is_object()) return {502, "", next.at("id")};
    return {result.reply->status, body.value("text", ""),
            body.value("culprit", "")};
  }

  const Options& options_;
  Announcer announcer_;
  ExecutionLog log_;
  FaultInjector fault_injector_;
  std::atomic<int> running_{0};
  std::mutex mutex_;
  std::map<std::string, RequestState> requests_;
};

}  // namespace
}  // namespace foxquay::fakes

int main(int argc, const char** argv) {
  using foxquay::fakes::Model;
  const foxquay::fakes::Options options =
      foxquay::fakes::ParseOptions(argc, argv);
  foxquay::fakes::BlockSigterm();
  const foxquay::http::Library library;
  Model model(options);
  foxquay::http::Server server({}, model.Routes());
  if (server.Start(options.listen)) {
    std::cerr << "cannot listen on " << options.listen << "\n";
    return EXIT_FAILURE;
  }
  foxquay::fakes::AwaitSigterm(model.announcer());
  const auto grace = foxquay::fakes::Clock::now() + foxquay::fakes::kLeaveGrace;
  while (model.running() > 0 && foxquay::fakes::Clock::now() < grace) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  _Exit(EXIT_SUCCESS);
}
