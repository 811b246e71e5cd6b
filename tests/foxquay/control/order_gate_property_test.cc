#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "foxquay/control/order_gate.h"
#include "foxquay/control/state.h"
#include "foxquay/schema/codec.h"
#include "steps.h"

namespace foxquay::control {
namespace {

using core::Duration;
using core::Instant;
using std::chrono::seconds;

// If the gate ignored a clock error of 1 %, about one in 400 simulations would
// fail; several are run in each case to detect it.
constexpr int kSimulationsPerCase = 12;

/// Operations: w advances time, f sends at the first and l at the last time
/// allowed, s sends, a acquires a grant without delay, r requests a grant, c
/// commits a request, n delivers a result, b restarts a host.
constexpr const char* kOps =
    "wwwffffffffllllllaaaaaarrrrrrccccccccnnnnnnnnssssssssb";

struct Holder {
  core::HostId host;
  std::uint64_t incarnation = 0;
  int rate_error_permille = 0;  ///< Clock rate above the slowest clock's.
  OrderGate gate;
  Duration end{};  ///< Real time at which its latest grant ends.

  [[nodiscard]] Instant ToLocal(Duration real) const {
    return Instant(real + real * rate_error_permille / 1000);
  }
  [[nodiscard]] Duration ToReal(Duration local) const {
    return local * 1000 / (1000 + rate_error_permille);
  }
};

struct Request {
  std::size_t holder = 0;
  Instant sent;
  schema::GrantFencing command;
};

struct Result {
  Request request;
  schema::FencingResult result;
};

struct Order {
  std::size_t holder = 0;
  std::uint64_t epoch = 0;
  Duration latest_arrival{};  ///< Real time until which it may still arrive.
};

/// Holders that take turns in sending orders to an upstream that does not check
/// fencing epochs. A holder is suspended while it takes no step. The wall time
/// of the log jumps ahead at random.
class Simulation {
 public:
  explicit Simulation(std::vector<int> rates) : rates_(std::move(rates)) {
    for (unsigned host = 0; host < 3; ++host) Start(host);
  }

  void Run(const Step& step) {
    const std::size_t index = step.host % holders_.size();
    Holder& holder = holders_[index];
    switch (step.op) {
      case 'w':
        now_ += std::chrono::milliseconds(step.pick * 100);
        return;
      case 'f':
        now_ = std::max(now_, EarliestSend(holder));
        return Send(index);
      case 'l':
        now_ = std::max(now_, holder.end - std::chrono::milliseconds(1));
        return Send(index);
      case 'a':
        RequestGrant(index, step.pick);
        Commit(0);
        return DeliverResult(0);
      case 'r':
        return RequestGrant(index, step.pick);
      case 'c':
        return Commit(step.pick);
      case 'n':
        return DeliverResult(step.pick);
      case 's':
        return Send(index);
      case 'b':
        return Start(step.host % 3);
    }
  }

 private:
  void Start(unsigned host) {
    const core::HostId id("h" + std::to_string(host));
    const std::uint64_t incarnation = holders_.size() + 1;
    holders_.push_back({id,
                        incarnation,
                        rates_[holders_.size() % rates_.size()],
                        OrderGate(id, incarnation, false),
                        {}});
    Apply(schema::RegisterHost{id, incarnation, {}});
  }

  schema::ControlResult Apply(const schema::ControlCommand& command) {
    return state_.Apply(++index_, log_time_, schema::Encode(command));
  }

  [[nodiscard]] Duration EarliestSend(const Holder& holder) const {
    const auto ready = holder.gate.ReadyAt();
    if (!ready) return now_;
    return holder.ToReal(ready->time_since_epoch()) + Duration(1000);
  }

  void RequestGrant(std::size_t index, unsigned pick) {
    const Holder& holder = holders_[index];
    requests_.push_back({index,
                         holder.ToLocal(now_),
                         {core::UpstreamId("u"), holder.host,
                          holder.incarnation, seconds(1 + pick % 20)}});
  }

  /// Commits one of the latest requests; it may be committed again.
  void Commit(unsigned pick) {
    if (requests_.empty()) return;
    log_time_ += seconds(pick % 7 == 0 ? 30 : 0);
    const std::size_t window = std::min<std::size_t>(requests_.size(), 4);
    const Request& request = requests_[requests_.size() - 1 - pick % window];
    results_.push_back(
        {request, std::get<schema::FencingResult>(Apply(request.command))});
  }

  void DeliverResult(unsigned pick) {
    if (results_.empty()) return;
    const std::size_t window = std::min<std::size_t>(results_.size(), 4);
    const Result& result = results_[results_.size() - 1 - pick % window];
    Holder& holder = holders_[result.request.holder];
    holder.gate.HandleResult(result.result, result.request.sent,
                             holder.ToLocal(now_));
    holder.end =
        holder.ToReal((result.request.sent + result.request.command.length)
                          .time_since_epoch());
  }

  /// Sends an order if the gate permits it, and checks that no order of a
  /// previous holder can arrive later.
  void Send(std::size_t index) {
    const Holder& holder = holders_[index];
    const auto permit = holder.gate.Check(holder.ToLocal(now_));
    if (!permit) return;
    for (const Order& order : orders_) {
      if (order.holder == index) continue;
      RC_ASSERT(order.epoch < permit->epoch);
      RC_ASSERT(order.latest_arrival <= now_);
    }
    orders_.push_back({index, permit->epoch,
                       holder.ToReal(permit->deadline.time_since_epoch())});
  }

  std::vector<int> rates_;
  Duration now_{};
  core::WallTime log_time_{};
  State state_;
  std::uint64_t index_ = 0;
  std::vector<Holder> holders_;
  std::vector<Request> requests_;
  std::vector<Result> results_;
  std::vector<Order> orders_;
};

// Guards against an upstream that does not check fencing epochs and gets an
// order of a previous holder after one of the new holder, for example from a
// host that was suspended and resumes.
TEST_CASE("orders of two holders never overlap", "[fuzz]") {
  REQUIRE(rc::check([] {
    for (int repeat = 0; repeat < kSimulationsPerCase; ++repeat) {
      const auto steps = *Steps(kOps, 16.0);
      Simulation simulation(Rates());
      for (const Step& step : steps) simulation.Run(step);
    }
  }));
}

// Guards against unnecessary waits if the upstream itself refuses orders with
// an old fencing epoch.
TEST_CASE("an upstream that checks fencing epochs gets orders without delay") {
  OrderGate gate(core::HostId("a"), 1, true);
  const Instant start{};
  CHECK_FALSE(gate.Check(start));
  schema::FencingResult result;
  result.epoch = 7;
  result.holder = core::HostId("a");
  result.incarnation = 1;
  result.length = seconds(10);
  result.previous_epoch = 6;
  result.previous_length = seconds(60);
  gate.HandleResult(result, start, start + seconds(1));
  REQUIRE(gate.Check(start + seconds(1)));
  CHECK(gate.Check(start + seconds(1))->epoch == 7);
  CHECK_FALSE(gate.Check(start + seconds(10)));
  result.epoch = 8;
  result.status = schema::FencingStatus::kHeld;
  result.holder = core::HostId("b");
  gate.HandleResult(result, start, start + seconds(2));
  CHECK_FALSE(gate.Check(start + seconds(2)));
}

}  // namespace
}  // namespace foxquay::control
