#include "foxquay/net/buffer_budget.h"

#include <catch2/catch.hpp>
#include <vector>

namespace foxquay::net {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1} << 20U;

core::Instant At(int seconds) {
  return core::Instant(std::chrono::seconds(seconds));
}

/// A server whose connections are closed as the budget asks.
struct Owner {
  explicit Owner(BufferBudget& owning) : budget(owning) {
    id = budget.AddOwner([this](SocketId socket) {
      closed.push_back(socket);
      budget.Remove(id, socket);
    });
  }

  /// A connection that receives a request since a second.
  void Receive(std::uint64_t socket, std::size_t bytes, int since) {
    budget.Set(id, SocketId(socket), {bytes, 0, true, At(since)});
  }
  /// A connection whose request is being answered.
  void Serve(std::uint64_t socket, std::size_t bytes) {
    budget.Set(id, SocketId(socket), {bytes, bytes, false, At(0)});
  }

  BufferBudget& budget;
  BufferOwnerId id;
  std::vector<SocketId> closed;
};

}  // namespace

TEST_CASE("callers with small requests outlast a crowd with large ones") {
  BufferBudget budget({8 * kMebibyte, 1000});
  Owner entry(budget);
  Owner control(budget);
  entry.Serve(1, 20'000);
  control.Receive(1, 3000, 0);
  for (std::uint64_t caller = 2; caller < 200; ++caller) {
    entry.Receive(caller, kMebibyte + caller, 1);
    control.Receive(caller, kMebibyte / 2, 1);
    if (budget.exceeded()) budget.Enforce();
    CHECK(budget.held() <= 8 * kMebibyte);
  }
  CHECK(budget.evicted() == entry.closed.size() + control.closed.size());
  for (const auto& owner : {entry, control}) {
    for (const SocketId socket : owner.closed) CHECK(socket != SocketId(1));
  }
}

TEST_CASE("the connection that takes the most is closed first") {
  BufferBudget budget({1000, 10});
  Owner owner(budget);
  owner.Receive(1, 300, 0);
  owner.Receive(2, 500, 1);
  owner.Receive(3, 400, 2);
  CHECK(budget.exceeded());
  budget.Enforce();
  CHECK(owner.closed == std::vector{SocketId(2)});
  CHECK(budget.held() == 700);
}

TEST_CASE("requests that are being answered are not closed for others") {
  BufferBudget budget({1000, 1});
  Owner owner(budget);
  owner.Serve(1, 900);
  owner.Serve(2, 900);
  CHECK_FALSE(budget.exceeded());
  budget.Enforce();
  CHECK(owner.closed.empty());
  owner.Receive(3, 10, 0);
  CHECK(budget.exceeded());
  budget.Enforce();
  CHECK(owner.closed == std::vector{SocketId(3)});
}

TEST_CASE("large requests take half of the memory at most") {
  BufferBudget budget({8 * kMebibyte, 1000});
  Owner owner(budget);
  // In calm a single one is served, whatever its size.
  CHECK(budget.Admit(20 * kMebibyte));
  owner.Serve(1, 3 * kMebibyte);
  CHECK_FALSE(budget.Admit(2 * kMebibyte));
  CHECK(budget.Admit(20'000));
  CHECK(budget.refused() == 1);
  owner.Serve(1, 0);
  CHECK(budget.Admit(4 * kMebibyte));
}

TEST_CASE("small requests find room beside larger ones") {
  BufferBudget budget({kMebibyte, 1000});
  Owner owner(budget);
  std::uint64_t socket = 1;
  while (budget.Admit(60'000)) owner.Serve(socket++, 60'000);
  CHECK(budget.held() <= kMebibyte / 4 * 3);
  for (int request = 0; request < 100; ++request) {
    REQUIRE(budget.Admit(2000));
    owner.Serve(socket++, 2000);
  }
}

TEST_CASE("no more requests are answered than there are upstream connections") {
  BufferBudget budget({kMebibyte, 100});
  Owner owner(budget);
  std::uint64_t socket = 1;
  while (budget.Admit(100)) owner.Serve(socket++, 100);
  CHECK(budget.connections() == 75);
  budget.Remove(owner.id, SocketId(1));
  CHECK(budget.Admit(100));
}

TEST_CASE("of too many connections the ones that wait longest are closed") {
  BufferBudget budget({kMebibyte, 64});
  Owner owner(budget);
  owner.Serve(1, 100);
  for (int caller = 2; caller <= 65; ++caller) {
    owner.Receive(static_cast<std::uint64_t>(caller), 100, 100 - caller);
  }
  CHECK(budget.exceeded());
  budget.Enforce();
  // Room for the next ones is made at once.
  CHECK(owner.closed == std::vector{SocketId(65), SocketId(64), SocketId(63),
                                    SocketId(62), SocketId(61)});
  CHECK(budget.connections() == 60);
}

}  // namespace foxquay::net
