#include "foxquay/relay/retry_pool.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "retry_limit.h"

namespace foxquay::relay {
namespace {

core::Instant At(int ms) {
  return core::Instant(std::chrono::milliseconds(ms));
}

core::HostId Host(std::size_t index) {
  return core::HostId("h" + std::to_string(index));
}

const core::ServiceId kService("s");

/// Hosts that follow control hosts and poll them in turn.
class Cluster {
 public:
  Cluster(const BudgetOptions& options, std::size_t hosts, std::size_t pools)
      : hosts_(hosts, RetryBudget(options)),
        pools_(pools, RetryPool(options)),
        pool_of_(hosts) {
    for (std::size_t index = 0; index < hosts; ++index) {
      hosts_[index].SetHosts(hosts, At(0));
      pool_of_[index] = index % pools;
    }
  }

  void Request(std::size_t host, int ms) {
    hosts_[host].CountRequest(kService, At(ms));
  }
  bool Retry(std::size_t host, int ms) {
    return hosts_[host].TakeRetry(kService, At(ms));
  }
  void Poll(std::size_t host, int ms) {
    RetryPool& pool = pools_[pool_of_[host]];
    const auto usage = hosts_[host].Usage(At(ms));
    for (const auto& allowance :
         pool.Grant({Host(host), 1}, usage, hosts_.size(), At(ms))) {
      hosts_[host].SetAllowance(kService, allowance.retries, At(ms));
    }
  }
  void Move(std::size_t host, std::size_t pool) { pool_of_[host] = pool; }

 private:
  std::vector<RetryBudget> hosts_;
  std::vector<RetryPool> pools_;
  std::vector<std::size_t> pool_of_;
};

}  // namespace

// Guards against requests that are refused for want of a retry at a few hosts
// while most of the budget is unused.
TEST_CASE("a host that needs many retries gets the unused ones of others") {
  constexpr std::size_t kHosts = 68;
  const BudgetOptions options{0.2, 320, std::chrono::seconds(10)};
  int shared = 0;
  int alone = 0;
  Cluster cluster(options, kHosts, 6);
  RetryBudget single(options);
  single.SetHosts(kHosts, At(0));
  for (int ms = 0; ms < 10000; ms += 50) {
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (ms % 500 == 0) cluster.Request(host, ms);
      if (ms % 250 == 0) cluster.Poll(host, ms);
    }
    if (ms % 500 == 0) single.CountRequest(kService, At(ms));
    if (ms >= 5000) {
      shared += static_cast<int>(cluster.Retry(0, ms));
      alone += static_cast<int>(single.TakeRetry(kService, At(ms)));
    }
  }
  CHECK(alone <= 7);
  CHECK(shared >= 3 * alone);
}

TEST_CASE("a host that is cut off keeps a part of its share") {
  const BudgetOptions options{0, 400, std::chrono::seconds(10)};
  Cluster cluster(options, 4, 1);
  for (std::size_t host = 0; host < 4; ++host) {
    cluster.Request(host, 0);
    cluster.Poll(host, 0);
  }
  int sent = 0;
  while (cluster.Retry(0, 5000)) ++sent;
  CHECK(sent == 32);
}

// The new process does not report the retries of the one before.
TEST_CASE("retries of a process before a restart count for one window") {
  const BudgetOptions options{0, 100, std::chrono::seconds(10)};
  RetryPool pool(options);
  const auto grant = [&pool](std::size_t host, std::uint64_t incarnation,
                             std::uint32_t used, int ms) {
    const std::vector<schema::RetryUsage> usage{{kService, 0, used, 0}};
    return pool.Grant({Host(host), incarnation}, usage, 2, At(ms))
        .front()
        .retries;
  };
  (void)grant(0, 1, 30, 0);
  (void)grant(1, 1, 0, 0);
  (void)grant(0, 2, 0, 500);
  CHECK(grant(1, 1, 60, 4000) <= 50);
  (void)grant(0, 2, 0, 10600);
  CHECK(grant(1, 1, 60, 10700) > 50);
}

// A grant that is lowered after the restart must not shorten that window, nor
// may the account be dropped in it.
TEST_CASE("a later, smaller grant keeps the retries before a restart") {
  const BudgetOptions options{0, 100, std::chrono::seconds(10)};
  RetryPool pool(options);
  const auto grant = [&pool](std::size_t host, std::uint64_t incarnation,
                             std::uint32_t used, int ms) {
    const std::vector<schema::RetryUsage> usage{{kService, 0, used, 0}};
    return pool.Grant({Host(host), incarnation}, usage, 2, At(ms))
        .front()
        .retries;
  };
  (void)grant(0, 1, 30, 0);
  (void)grant(1, 1, 0, 0);
  (void)grant(0, 2, 0, 500);
  (void)grant(1, 1, 40, 1000);
  for (int ms = 1100; ms < 9000; ms += 1000) {
    (void)grant(0, 2, 0, ms);
    CHECK(grant(1, 1, 40, ms + 100) <= 50);
  }
}

TEST_CASE("retries of all hosts stay within the limit with shared pools") {
  rc::check("sliding windows hold the bound", [] {
    const BudgetOptions options{0.2, 120, std::chrono::seconds(10)};
    constexpr std::size_t kHosts = 12;
    constexpr std::size_t kPools = 3;
    Cluster cluster(options, kHosts, kPools);
    std::vector<int> requests;
    std::vector<int> retries;
    const int period = *rc::gen::inRange(5, 100);
    const int busy_until = *rc::gen::inRange(1000, 30000);
    // Some hosts send many retries, some move, some are cut off for a while.
    const auto eager = *rc::gen::inRange<std::size_t>(1, kHosts + 1);
    const int move_at = *rc::gen::inRange(0, 30000);
    const auto cut = *rc::gen::inRange<std::size_t>(0, kHosts);
    for (int ms = 0; ms < 40000; ms += 5) {
      for (std::size_t host = 0; host < kHosts; ++host) {
        const int phase = ms + static_cast<int>(host) * 20;
        if (phase % 250 == 0 && (host >= cut || ms % 9000 < 5000)) {
          cluster.Poll(host, ms);
        }
        if (phase % period == 0 && ms < busy_until) {
          cluster.Request(host, ms);
          requests.push_back(ms);
        }
        if (host < eager && cluster.Retry(host, ms)) retries.push_back(ms);
      }
      if (ms / 5 == move_at / 5) {
        for (std::size_t host = 0; host < kHosts; host += 3) {
          cluster.Move(host, (host + 1) % kPools);
        }
      }
    }
    RC_ASSERT(WithinLimit(requests, retries, options));
  });
}

}  // namespace foxquay::relay
